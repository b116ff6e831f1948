package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.buckthornwheel.forwarding.connection.ConnectionFailure
import org.buckthornwheel.forwarding.connection.ResponseListener
import org.buckthornwheel.forwarding.connection.TargetConnection
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration.Companion.seconds

/** An attempt that forwards a request to a host of another region. */
internal class PeerAttempt(
    private val context: ForwardingContext,
    private val proxiedRequest: ProxiedRequest,
    private val host: EntryHostProfile,
    private val permit: RetryPermit,
    override val version: SoftwareVersion?,
    private val startedAt: MonotonicInstant,
) : Attempt,
    ResponseListener {
    private var connection: TargetConnection? = null
    private var relay: ResponseRelay? = null
    private var outcome: PeerOutcome? = null
    private var retryAfterSeconds: Double? = null
    private var isEnded = false

    fun start(pool: TargetPool, headers: HttpHeaders, request: ReceivedRequest) {
        context.log.write(LogPart.REQUEST, "forwarded") {
            put("request", proxiedRequest.metadata.id.value)
            put("peer", host.name.value)
            put("region", host.region.value)
            version?.let { put("version", it.value) }
            proxiedRequest.describePlacement(this)
        }
        pool.acquire(
            TargetKey(host.peerAddress, host.incarnation.toString()),
            use = { newConnection -> sendOrWithdraw(pool, newConnection, headers, request) },
            fail = { failure -> notSent(failure.reason) },
        )
    }

    override fun cancel() {
        if (isEnded) return
        isEnded = true
        relay?.discard()
        if (connection == null) permit.giveBack()
        connection?.cancel()
    }

    override fun setReading(reads: Boolean) {
        connection?.setReading(reads)
    }

    override fun accepts(head: HttpResponse): Boolean {
        val received = context.dialect.readResponse(head.status().code(), head.headers())
        return received.requestId == null || received.requestId == proxiedRequest.metadata.id
    }

    override fun onHead(head: HttpResponse) {
        if (isEnded) return
        val received = context.dialect.readResponse(head.status().code(), head.headers())
        if (received.isUnsignedSuccess(head)) return broken("successful response without signature")
        if (received.requestId != null && !HttpUtil.isKeepAlive(head)) {
            context.hosts.recordStopping(host, context.clock.now())
        }
        outcome = PeerEnvelope.outcome(head.headers())
        retryAfterSeconds = head.headers().get(HttpHeaderNames.RETRY_AFTER)?.toDoubleOrNull()?.takeIf { it.isFinite() }
        PeerEnvelope.remove(head.headers())
        relay = connection?.let {
            ResponseRelay(proxiedRequest, head, it.responseMemory) { proxiedRequest.onResponding(this) }
        }
    }

    override fun onContent(content: ByteBuf) {
        val currentRelay = relay
        if (isEnded || currentRelay == null) {
            content.release()
            return
        }
        if (currentRelay.add(content) == RelayResult.TOO_LONG) broken("too long a response")
    }

    override fun onComplete() {
        if (isEnded) return
        isEnded = true
        connection = null
        val response = relay ?: return
        if (response.isInsideEvent) return broken("stream ended inside an event")
        val rejection = outcome ?: return response.complete()
        response.discard()
        if (!rejection.hasArrived) permit.giveBack()
        proxiedRequest.onPeerRejected(this, host, rejection, retryAfterSeconds?.seconds)
    }

    override fun onFailure(failure: ConnectionFailure) {
        if (!isEnded) broken(failure.reason)
    }

    private fun broken(reason: String) {
        isEnded = true
        relay?.discard()
        connection?.cancel()
        log("broken", reason)
        proxiedRequest.onFailed(this, AttemptFailure(null, host.name.value, reason))
    }

    /** Sends the request elsewhere if its home regions changed while the connection was opened. */
    private fun sendOrWithdraw(
        pool: TargetPool,
        opened: TargetConnection,
        headers: HttpHeaders,
        request: ReceivedRequest,
    ) {
        if (isEnded || proxiedRequest.homes.permit(host.region)) return send(opened, headers, request)
        pool.release(opened)
        notSent("outside the home regions in force")
    }

    private fun send(newConnection: TargetConnection, headers: HttpHeaders, request: ReceivedRequest) {
        if (isEnded) {
            newConnection.close()
            return
        }
        connection = newConnection
        proxiedRequest.onSent()
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri(), headers)
        newConnection.send(head, request.body.retainedDuplicate(), this)
    }

    private fun notSent(reason: String) {
        if (isEnded) return
        isEnded = true
        permit.giveBack()
        log("not sent", reason)
        proxiedRequest.onNotSent(this, null, host.name.value)
    }

    private fun log(event: String, reason: String) {
        context.log.write(LogPart.REQUEST, event) {
            put("request", proxiedRequest.metadata.id.value)
            put("peer", host.name.value)
            put("reason", reason)
            put("milliseconds", (context.clock.now() - startedAt).inWholeMilliseconds)
        }
    }
}
