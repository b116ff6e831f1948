package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.LocalEstate
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Callers that send actions to [host] until its process ends, half of them with an idempotency key.
 *
 * Each caller either reuses its connection or opens one for each request.
 */
internal class PersistentCallers(private val host: NetworkAddress, private val token: String) {
    /** The reported outcome of each action with a complete response, by the action's body. */
    val outcomes: MutableMap<String, Outcome> = ConcurrentHashMap()

    /** Starts the callers; they send while [isRunning]. */
    fun start(scope: CoroutineScope, isRunning: () -> Boolean) {
        repeat(CALLERS) { number ->
            scope.launch(Dispatchers.IO) { sendOnOpenConnection("${host.port}-open-$number", isRunning) }
            scope.launch(Dispatchers.IO) { sendOnNewConnections("${host.port}-new-$number", isRunning) }
        }
    }

    private suspend fun sendOnOpenConnection(name: String, isRunning: () -> Boolean) {
        val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        sendWhile(name, isRunning) { body, key ->
            val response = withContext(Dispatchers.IO) {
                client.send(request(body, key), HttpResponse.BodyHandlers.ofString())
            }
            Outcome.of(response.headers().firstValue(CallerHeaders.OUTCOME).orElse(null))
        }
    }

    private suspend fun sendOnNewConnections(name: String, isRunning: () -> Boolean) {
        Caller(token).use { caller ->
            sendWhile(name, isRunning) { body, key -> caller.act(host, key, body).outcome ?: Outcome.UNKNOWN }
        }
    }

    private suspend fun sendWhile(name: String, isRunning: () -> Boolean, send: suspend (String, String?) -> Outcome) {
        var number = 0
        while (isRunning()) {
            val body = """{"action":"$name-${number++}"}"""
            try {
                outcomes[body] = send(body, body.filter(Char::isLetterOrDigit).takeIf { number % 2 == 0 })
            } catch (_: IOException) {
                delay(PAUSE_AFTER_FAILURE)
            }
        }
    }

    private fun request(body: String, key: String?): HttpRequest {
        val path = "/v1/services/${LocalEstate.SERVICE}/${LocalEstate.ACTION}"
        val builder = HttpRequest.newBuilder(URI.create("http://$host$path"))
            .header("Authorization", "Bearer $token")
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
        key?.let { builder.header(CallerHeaders.IDEMPOTENCY_KEY, it) }
        return builder.build()
    }

    private companion object {
        const val CALLERS = 6
        val PAUSE_AFTER_FAILURE = 20.milliseconds
    }
}
