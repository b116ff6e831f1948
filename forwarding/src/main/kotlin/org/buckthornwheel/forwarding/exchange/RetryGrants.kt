/*
 * Retries of forwarded requests, which the host that accepted the request from its caller grants out of its own budget.
 *
 * The budget permits a ratio of the requests of callers. Only that host counts the request, so that the ratio would be
 * of no use where all requests come from other regions.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.client.HttpCall
import org.buckthornwheel.forwarding.client.HttpServiceClient
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.net.URLEncoder
import kotlin.time.Duration.Companion.milliseconds

/** Grants retries to other hosts. */
internal class RetryGrantCall(private val retries: Retries, private val clock: MonotonicClock) : HostCall {
    override fun respond(parameters: Map<String, String>): String? {
        val service = parameters[SERVICE] ?: return null
        val count = parameters[COUNT]?.toIntOrNull()?.coerceIn(0, MAXIMUM_COUNT) ?: return null
        val now = clock.now()
        return (0 until count).takeWhile { retries.take(ServiceName(service), now) != null }.size.toString()
    }

    companion object {
        /** Path and parameters of the request between hosts; the response is the number of retries granted. */
        const val PATH = "/retries"
        const val SERVICE = "service"
        const val COUNT = "count"

        /** Limit on what one request takes of the budget. */
        const val MAXIMUM_COUNT = 64
    }
}

/**
 * Requests retries from other hosts, with one request to each host and service at a time, and none for a while after a
 * denial. Used on [loop].
 */
internal class RetryGrants(
    private val hosts: KnownEntryHosts,
    private val loop: EventLoop,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) {
    private data class Source(val address: NetworkAddress, val service: ServiceName)

    private class Requests(val client: HttpServiceClient) {
        val receivers = ArrayDeque<(Boolean) -> Unit>()
        var isInProgress = false
        var deniedUntil: MonotonicInstant? = null
    }

    private val requests = HashMap<Source, Requests>()

    /** Requests a retry for [service] from the host [origin], and passes to [done] whether it was granted. */
    fun request(origin: HostName, service: ServiceName, done: (Boolean) -> Unit) {
        val address = hosts.find(origin)?.peerAddress ?: return done(false)
        val source = Source(address, service)
        val present = requests.getOrPut(source) { Requests(HttpServiceClient(loop, address)) }
        if (present.deniedUntil?.let { clock.now() < it } == true) return done(false)
        present.receivers.addLast(done)
        if (!present.isInProgress) send(source, present)
    }

    private fun send(source: Source, requests: Requests) {
        val count = minOf(requests.receivers.size, RetryGrantCall.MAXIMUM_COUNT)
        if (count == 0) return
        val batch = List(count) { requests.receivers.removeFirst() }
        requests.isInProgress = true
        val service = URLEncoder.encode(source.service.value, Charsets.UTF_8)
        val uri = "${RetryGrantCall.PATH}?${RetryGrantCall.SERVICE}=$service&${RetryGrantCall.COUNT}=$count"
        requests.client.call(HttpCall("POST", uri, timeout = TIMEOUT)) { result ->
            val granted = granted(source, result)
            requests.isInProgress = false
            if (granted == count) send(source, requests) else deny(requests)
            batch.forEachIndexed { index, done -> done(index < granted) }
        }
    }

    private fun deny(requests: Requests) {
        requests.deniedUntil = clock.now() + PAUSE_AFTER_DENIAL
        val waiting = requests.receivers.toList()
        requests.receivers.clear()
        waiting.forEach { done -> done(false) }
    }

    private fun granted(source: Source, result: CallResult): Int {
        val response = (result as? CallResult.Answered)?.takeIf { it.status == OK }
        return response?.body?.toIntOrNull() ?: 0.also { logFailure(source, result) }
    }

    private fun logFailure(source: Source, result: CallResult): Unit =
        log.write(LogPart.REQUEST, "no response on retries") {
            put("peer", source.address.toString())
            put("service", source.service.value)
            put("reason", result.toString())
        }

    private companion object {
        const val OK = 200

        /** Several round trips between regions; a retry that has to wait longer comes too late for most callers. */
        val TIMEOUT = 500.milliseconds

        /** Short against the window of the budget, so that hardly any permitted retry is lost. */
        val PAUSE_AFTER_DENIAL = 50.milliseconds
    }
}
