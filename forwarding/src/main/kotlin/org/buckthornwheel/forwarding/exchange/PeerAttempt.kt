package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.forwarding.connection.Breakage
import org.buckthornwheel.forwarding.connection.TargetConnection
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetListener
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration.Companion.seconds

/** A request at a host of another region. */
internal class PeerAttempt(
    private val context: ForwardingContext,
    private val exchange: Exchange,
    private val host: EntryHostProfile,
    private val startedAt: MonotonicInstant,
) : Attempt,
    TargetListener {
    private var connection: TargetConnection? = null
    private var relay: AnswerRelay? = null
    private var outcome: PeerOutcome? = null
    private var retryAfterSeconds: Double? = null
    private var isOver = false

    fun start(pool: TargetPool, headers: HttpHeaders, request: ReceivedRequest) {
        context.log.write(LogPart.REQUEST, "forwarded") {
            put("request", exchange.facts.id.value)
            put("peer", host.name.value)
            put("region", host.region.value)
        }
        pool.acquire(
            TargetKey(host.peerAddress, host.incarnation.toString()),
            use = { opened -> send(opened, headers, request) },
            fail = { reason -> notSent(reason) },
        )
    }

    override fun cancel() {
        if (isOver) return
        isOver = true
        relay?.discard()
        connection?.cancel()
    }

    override fun setReading(reads: Boolean) {
        connection?.setReading(reads)
    }

    override fun accepts(head: HttpResponse): Boolean = true

    override fun onHead(head: HttpResponse) {
        if (isOver) return
        outcome = PeerEnvelope.outcome(head.headers())
        retryAfterSeconds = head.headers().get(HttpHeaderNames.RETRY_AFTER)?.toDoubleOrNull()
        PeerEnvelope.remove(head.headers())
        relay = AnswerRelay(exchange, head)
    }

    override fun onContent(content: ByteBuf) {
        val passing = relay
        if (isOver || passing == null) content.release() else passing.add(content)
    }

    override fun onComplete() {
        if (isOver) return
        isOver = true
        connection = null
        val answer = relay ?: return
        val rejection = outcome ?: return answer.complete()
        answer.discard()
        exchange.onPeerRejected(host, rejection, retryAfterSeconds?.seconds)
    }

    override fun onBroken(breakage: Breakage) {
        if (isOver) return
        isOver = true
        relay?.discard()
        log("broken", breakage.reason)
        exchange.onFailed(null, host.name.value, breakage.reason, HttpResponseStatus.BAD_GATEWAY)
    }

    private fun send(opened: TargetConnection, headers: HttpHeaders, request: ReceivedRequest) {
        if (isOver) {
            opened.channel.close()
            return
        }
        connection = opened
        exchange.onSent()
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri(), headers)
        opened.send(head, request.body.retainedDuplicate(), this)
    }

    private fun notSent(reason: String) {
        if (isOver) return
        isOver = true
        log("not sent", reason)
        exchange.onNotSent(null, host.name.value)
    }

    private fun log(event: String, reason: String) {
        context.log.write(LogPart.REQUEST, event) {
            put("request", exchange.facts.id.value)
            put("peer", host.name.value)
            put("reason", reason)
            put("milliseconds", (context.clock.now() - startedAt).inWholeMilliseconds)
        }
    }
}
