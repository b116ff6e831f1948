package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.takeFrom
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.buckthornwheel.protocol.administration.AdministrationProblem
import kotlin.time.Duration.Companion.seconds

/** The response of a host: status code and body. */
internal data class AdministrationResponse(val status: Int, val body: String)

/** Calls the administration API of one host; any failure ends the command with advice and an exit code. */
internal class AdministrationClient(private val command: CliktCommand, private val globalOptions: GlobalOptions) {
    fun get(path: String): AdministrationResponse = execute(HttpMethod.Get, path, body = null)

    fun post(path: String, body: String): AdministrationResponse = execute(HttpMethod.Post, path, body)

    /** Fetches [path] and decodes the response body; returns null if the body was printed as JSON instead. */
    inline fun <reified View> fetchView(path: String): View? = fetchView(path, serializer())

    /** Decodes the body of [response]; a malformed body ends the command. */
    inline fun <reified Message> decode(response: AdministrationResponse): Message = decode(response, serializer())

    fun <View> fetchView(path: String, serializer: KSerializer<View>): View? {
        val response = get(path)
        if (response.status != OK) failRejected(response)
        val view = decode(response, serializer)
        if (globalOptions.json) command.echo(response.body)
        return view.takeUnless { globalOptions.json }
    }

    // The decoder and the types of the fields (for values out of range) both throw IllegalArgumentException.
    fun <Message> decode(response: AdministrationResponse, serializer: KSerializer<Message>): Message = try {
        format.decodeFromString(serializer, response.body)
    } catch (_: IllegalArgumentException) {
        failMalformed(response)
    }

    /** Ends the command with the problem detail of [response], which reports a rejected request. */
    fun failRejected(response: AdministrationResponse): Nothing {
        val problem = decode<AdministrationProblem>(response)
        fail("${globalOptions.address} rejected the request: ${problem.detail}.", ExitCode.REFUSED)
    }

    private fun failMalformed(response: AdministrationResponse): Nothing = fail(
        "${globalOptions.address} responded with status ${response.status} and a body that " +
            "no buckthornwheel host sends. Check that --address is the administration address of a host.",
        ExitCode.MALFORMED_RESPONSE,
    )

    private fun execute(method: HttpMethod, path: String, body: String?): AdministrationResponse = runBlocking {
        val client = createClient()
        client.use { send(it, method, path, body) }
    }

    private fun createClient(): HttpClient = try {
        createHttpClient(globalOptions.authorityCertificate)
    } catch (failure: Exception) {
        fail("The authority certificate is not usable: ${failure.message}.", ExitCode.REFUSED)
    }

    private suspend fun send(
        client: HttpClient,
        method: HttpMethod,
        path: String,
        body: String?,
    ): AdministrationResponse = try {
        withTimeoutOrNull(RESPONSE_TIMEOUT) {
            val httpResponse = client.request {
                url.takeFrom(globalOptions.address.removeSuffix("/") + path)
                this.method = method
                globalOptions.token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                body?.let { setBody(it) }
            }
            requirePermission(AdministrationResponse(httpResponse.status.value, httpResponse.bodyAsText()))
        } ?: failUnavailable("no response within $RESPONSE_TIMEOUT")
    } catch (commandEnd: ProgramResult) {
        throw commandEnd
    } catch (failure: Exception) {
        failUnavailable(failure.message ?: failure.toString())
    }

    private fun requirePermission(response: AdministrationResponse): AdministrationResponse {
        val advice = when (response.status) {
            UNAUTHORIZED -> "does not recognize the token. Pass a valid one with --token or in BUCKTHORNWHEEL_TOKEN."
            FORBIDDEN -> "does not permit this command for the token's role. Use a token with the role operator."
            else -> return response
        }
        fail("${globalOptions.address} $advice", ExitCode.NOT_PERMITTED)
    }

    private fun failUnavailable(reason: String): Nothing = fail(
        "No response from ${globalOptions.address}: $reason. Try another host with --address.",
        ExitCode.UNAVAILABLE,
    )

    private fun fail(advice: String, code: Int): Nothing {
        command.echo(advice, err = true)
        throw ProgramResult(code)
    }

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
        val RESPONSE_TIMEOUT = 15.seconds
        val format = Json { ignoreUnknownKeys = true }
    }
}
