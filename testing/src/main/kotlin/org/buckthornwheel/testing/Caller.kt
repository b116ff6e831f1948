package org.buckthornwheel.testing

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.contentType
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.EntryHosts

/** The response to a caller: status, outcome, target and hop count from the headers, and the body as text. */
public data class CallerResponse(
    public val status: Int,
    public val outcome: Outcome?,
    public val target: String?,
    public val hops: Int?,
    public val body: String,
) {
    /** The data of each event, if the body is an event stream. */
    public fun events(): List<String> = body.lines()
        .filter { it.startsWith(DATA_FIELD) }
        .map { it.removePrefix(DATA_FIELD).trim() }

    private companion object {
        const val DATA_FIELD = "data:"
    }
}

/** A client that sends requests with the bearer token of one account. */
public class Caller(private val token: String) : AutoCloseable {
    private val client = HttpClient(CIO) { engine { requestTimeout = 0 } }

    /** Fetches the entry hosts that [host] currently names to callers. */
    public suspend fun entryHosts(host: NetworkAddress): EntryHosts =
        Json.decodeFromString(client.get("http://$host/v1/entry-hosts").bodyAsText())

    /** Requests a completion of [prompt] from [host]. */
    public suspend fun complete(
        host: NetworkAddress,
        prompt: String,
        tokens: Int,
        stream: Boolean,
        model: String = LocalEstate.MODEL.value,
    ): CallerResponse {
        val body = """{"model":"$model","stream":$stream,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$prompt"}]}"""
        return post(host, "/v1/chat/completions", body, key = null)
    }

    /** Calls the non-idempotent operation at [host] under the idempotency key [key]; [attempt] counts from 1. */
    public suspend fun act(host: NetworkAddress, key: String?, body: String, attempt: Int? = null): CallerResponse =
        post(host, "/v1/services/${LocalEstate.SERVICE}/${LocalEstate.ACTION}", body, key, attempt)

    /** Posts [body] to [path] of [host], with [key] as the idempotency key unless it is null. */
    public suspend fun post(
        host: NetworkAddress,
        path: String,
        body: String,
        key: String?,
        attempt: Int? = null,
    ): CallerResponse = client.post("http://$host$path") {
        attempt?.let { header(CallerHeaders.ATTEMPT, it) }
        header(HttpHeaders.Authorization, "Bearer $token")
        key?.let { header(CallerHeaders.IDEMPOTENCY_KEY, it) }
        contentType(ContentType.Application.Json)
        setBody(body)
    }.toCallerResponse()

    override fun close(): Unit = client.close()

    private suspend fun HttpResponse.toCallerResponse(): CallerResponse = CallerResponse(
        status = status.value,
        outcome = headers[CallerHeaders.OUTCOME]?.let(Outcome::of),
        target = headers[CallerHeaders.TARGET],
        hops = headers[CallerHeaders.HOPS]?.toIntOrNull(),
        body = bodyAsText(),
    )
}
