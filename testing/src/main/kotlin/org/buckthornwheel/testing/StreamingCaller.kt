package org.buckthornwheel.testing

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.sse.SSE
import io.ktor.client.plugins.sse.sse
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.flow.takeWhile
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.EntryHosts

/** An event of a response stream: its data, its event type, and the target named in the response headers. */
public data class StreamEvent(public val data: String, public val kind: String?, public val target: String)

/** A caller that reads streamed completions event by event, and reads and controls the state of engine stand-ins. */
public class StreamingCaller(private val token: String) : AutoCloseable {
    private val client = HttpClient(CIO) {
        install(SSE)
        engine { requestTimeout = 0 }
    }

    /** Streams a completion of [prompt] from [host] while [continueReading] returns true; returns every event read. */
    public suspend fun stream(
        host: NetworkAddress,
        prompt: String,
        tokens: Int,
        continueReading: suspend (StreamEvent) -> Boolean = { true },
    ): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        client.sse(request = {
            method = HttpMethod.Post
            url("http://$host/v1/chat/completions")
            header(HttpHeaders.Authorization, "Bearer $token")
            contentType(ContentType.Application.Json)
            setBody(
                """{"model":"${LocalEstate.MODEL}","stream":true,"max_tokens":$tokens,""" +
                    """"messages":[{"role":"user","content":"$prompt"}]}""",
            )
        }) {
            val target = call.response.headers[CallerHeaders.TARGET].orEmpty()
            incoming.takeWhile { event ->
                val data = event.data ?: return@takeWhile true
                events += StreamEvent(data, event.event, target)
                continueReading(events.last())
            }.collect { }
        }
        return events
    }

    /** Returns the counter that [engine] serves at [path]. */
    public suspend fun count(engine: LocalTarget, path: String): Int =
        client.get("http://${engine.address}/$path").bodyAsText().toInt()

    /** Makes [engine] report from now on that it is leaving. */
    public suspend fun leave(engine: LocalTarget): Unit = postCommand(engine, "leave")

    /** Makes the next response of [engine] carry the id of another request. */
    public suspend fun cross(engine: LocalTarget): Unit = postCommand(engine, "cross")

    private suspend fun postCommand(engine: LocalTarget, command: String) {
        client.post("http://${engine.address}/$command")
    }

    /** Returns the names of the entry hosts that [host] names to callers. */
    public suspend fun entryHosts(host: NetworkAddress): List<String> =
        Json.decodeFromString<EntryHosts>(client.get("http://$host/v1/entry-hosts").bodyAsText()).hosts.map { it.name }

    override fun close(): Unit = client.close()
}
