package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.protocol.caller.CallerHeaders

/** Sends one completion request the way a caller does, to try out an estate. */
internal class CallCommand : CliktCommand(name = "call") {
    private val host by option(help = "Caller address of a host, as host:port or as a URL.").default("127.0.0.1:8080")
    private val accountToken by option("--account-token", help = "The caller's bearer token.").required()
    private val model by option(help = "Model to use.").required()
    private val prompt by option(help = "Text of the prompt.").required()
    private val maximumTokens by option(
        "--max-tokens",
        help = "Maximum number of tokens to generate.",
    ).int().default(16)
    private val stream by option(help = "Request a streamed response.").flag()

    private val deadlineMilliseconds by option(
        "--deadline-ms",
        help = "Deadline of the whole request in milliseconds.",
    ).long()
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String =
        "Sends one completion request the way a caller does, to try out an estate."

    override fun run(): Unit = try {
        runBlocking { createHttpClient(globalOptions.authorityCertificate).use { send(it) } }
    } catch (commandEnd: ProgramResult) {
        throw commandEnd
    } catch (failure: Exception) {
        echo("The call to $host failed: ${failure.message}. Try another host with --host.", err = true)
        throw ProgramResult(ExitCode.UNAVAILABLE)
    }

    private suspend fun send(client: HttpClient) {
        val baseUrl = if ("://" in host) host.removeSuffix("/") else "http://$host"
        client.preparePost("$baseUrl/v1/chat/completions") {
            header(HttpHeaders.Authorization, "Bearer $accountToken")
            header(HttpHeaders.ContentType, "application/json")
            deadlineMilliseconds?.let { header(CallerHeaders.DEADLINE, it) }
            setBody(requestBody())
        }.execute { printResponse(it) }
    }

    private suspend fun printResponse(response: HttpResponse) {
        val headerNames =
            listOf(CallerHeaders.REQUEST_ID, CallerHeaders.TARGET, CallerHeaders.HOPS, CallerHeaders.OUTCOME)
        val headerLines = headerNames.mapNotNull { name -> response.headers[name]?.let { "$name: $it" } }
        echo("status ${response.status.value}, ${headerLines.joinToString()}", err = true)
        val body = response.bodyAsChannel()
        while (true) echo(body.readLine() ?: break)
        if (!response.status.isSuccess()) throw ProgramResult(exitCodeOf(response))
    }

    private fun exitCodeOf(response: HttpResponse): Int = when {
        response.status == HttpStatusCode.Unauthorized -> ExitCode.NOT_PERMITTED
        response.headers[CallerHeaders.OUTCOME] == Outcome.NOT_RUN.headerValue -> ExitCode.REFUSED
        else -> ExitCode.UNAVAILABLE
    }

    private fun requestBody(): String = buildJsonObject {
        put("model", model)
        put("stream", stream)
        put("max_tokens", maximumTokens)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", prompt)
            }
        }
    }.toString()
}
