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

/** Requests retries from other hosts, with one request to each host and service at a time. Used on [loop]. */
internal class RetryGrants(
    private val hosts: KnownEntryHosts,
    private val loop: EventLoop,
    private val log: DecisionLog,
) {
    private data class Source(val address: NetworkAddress, val service: ServiceName)

    private class Waiting(val client: HttpServiceClient) {
        val receivers = ArrayDeque<(Boolean) -> Unit>()
        var isRequesting = false
    }

    private val waiting = HashMap<Source, Waiting>()

    /** Requests a retry for [service] from the host [origin], and passes to [done] whether it was granted. */
    fun request(origin: HostName, service: ServiceName, done: (Boolean) -> Unit) {
        val address = hosts.find(origin)?.peerAddress ?: return done(false)
        val source = Source(address, service)
        val present = waiting.getOrPut(source) { Waiting(HttpServiceClient(loop, address)) }
        present.receivers.addLast(done)
        if (!present.isRequesting) send(source, present)
    }

    private fun send(source: Source, from: Waiting) {
        val batch = List(minOf(from.receivers.size, RetryGrantCall.MAXIMUM_COUNT)) { from.receivers.removeFirst() }
        if (batch.isEmpty()) {
            waiting.remove(source)
            return
        }
        from.isRequesting = true
        val service = URLEncoder.encode(source.service.value, Charsets.UTF_8)
        val uri = "${RetryGrantCall.PATH}?${RetryGrantCall.SERVICE}=$service&${RetryGrantCall.COUNT}=${batch.size}"
        from.client.call(HttpCall("POST", uri, timeout = TIMEOUT)) { result ->
            val granted = (result as? CallResult.Answered)?.takeIf { it.status == OK }?.body?.toIntOrNull()
            if (granted == null) logFailure(source, result)
            from.isRequesting = false
            send(source, from)
            batch.forEachIndexed { index, done -> done(index < (granted ?: 0)) }
        }
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
    }
}
