package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.entry.EntryHosts
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.replica.AttemptResult
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.forwarding.connection.Breakage
import org.buckthornwheel.forwarding.connection.TargetConnection
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetListener
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.ResponseMetadata
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A request at a replica of the own region. */
internal class ReplicaAttempt(
    private val context: ForwardingContext,
    private val exchange: Exchange,
    private val state: ReplicaState,
    private val decision: PlacementDecision.Local,
    private val startedAt: MonotonicInstant,
) : Attempt,
    TargetListener {
    private val work = ReplicaLoad(
        requests = 1,
        tokens = exchange.facts.promptTokens.toLong() +
            (exchange.facts.expectedOutputTokens ?: exchange.facts.outputTokens),
        prefillTokens = decision.missingTokens.toLong(),
    )
    private var connection: TargetConnection? = null
    private var relay: AnswerRelay? = null
    private var facts: ResponseMetadata? = null
    private var hasHeard = false
    private var isOver = false

    fun start(pool: TargetPool, headers: HttpHeaders, request: ReceivedRequest, lastEventId: String?) {
        state.begin(work, exchange.facts.parts, coldPause(), startedAt)
        context.reads.add(decision.replica.id, exchange.facts.parts, startedAt)
        log("sent") {
            put("predicted", decision.predicted.inWholeMilliseconds)
            put("missing", decision.missingTokens)
            put("load", decision.load.requests)
            put("memory", decision.load.tokens)
            decision.fetchFrom?.let { put("fetch", it.id.value) }
            lastEventId?.let { put("after", it) }
        }
        val replica = decision.replica
        pool.acquire(
            TargetKey(replica.address, replica.id.value),
            use = { opened -> send(opened, headers, request) },
            fail = { reason -> notSent(reason) },
        )
    }

    override fun cancel() {
        if (isOver) return
        end(AttemptResult.ABANDONED)
        relay?.discard()
        connection?.cancel()
    }

    override fun setReading(reads: Boolean) {
        connection?.setReading(reads)
    }

    override fun accepts(head: HttpResponse): Boolean {
        val read = context.dialect.readResponse(head.status().code(), head.headers())
        return read.requestId == null || read.requestId == exchange.facts.id
    }

    override fun onHead(head: HttpResponse) {
        if (isOver) return
        val read = context.dialect.readResponse(head.status().code(), head.headers())
        facts = read
        read.requestsAtReplica?.let { state.told(it, context.clock.now()) }
        relay = AnswerRelay(exchange, head)
        if (!exchange.terms.isStreaming) heard()
    }

    override fun onContent(content: ByteBuf) {
        val passing = relay
        if (isOver || passing == null || !mayPassOn(passing)) {
            content.release()
            return
        }
        heard()
        passing.add(content)
    }

    override fun onComplete() {
        if (isOver) return
        connection = null
        val answer = relay ?: return
        val read = facts ?: return
        val code = answer.status.code()
        when {
            read.isWrongReplica -> notRun(answer, counts = false)
            read.isCertainlyNotRun -> notRun(answer, counts = true)
            answer.status.codeClass() == HttpStatusClass.SUCCESS && !read.isSigned -> broken("unsigned success")
            answer.status.codeClass() == HttpStatusClass.SUCCESS -> complete(answer, AttemptResult.ANSWERED)
            code in PROMISING_STATUSES -> broken("status $code without a statement that the request was not run")
            code >= FIRST_SERVER_ERROR -> failed(answer)
            else -> complete(answer, AttemptResult.ANSWERED)
        }
    }

    override fun onBroken(breakage: Breakage) {
        if (isOver) return
        val result = if (breakage.isForgotten) AttemptResult.ABANDONED else AttemptResult.BROKEN
        broken(breakage.reason, result)
    }

    private fun send(opened: TargetConnection, headers: HttpHeaders, request: ReceivedRequest) {
        if (isOver) {
            context.log.write(LogPart.REQUEST, "connection unused") { put("request", exchange.facts.id.value) }
            opened.channel.close()
            return
        }
        connection = opened
        exchange.onSent()
        context.meters.sent(exchange.isRepeat)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri(), headers)
        opened.send(head, request.body.retainedDuplicate(), this)
    }

    /** Bodies of answers that are not passed on are dropped; a success passes on only with its signature. */
    private fun mayPassOn(answer: AnswerRelay): Boolean {
        val read = facts ?: return false
        if (answer.status.codeClass() != HttpStatusClass.SUCCESS) return true
        return read.isSigned
    }

    private fun heard() {
        if (hasHeard) {
            state.heard(0, null, null, context.clock.now())
            return
        }
        hasHeard = true
        val now = context.clock.now()
        state.heard(work.prefillTokens, now - startedAt, decision.predicted, now)
    }

    private fun complete(answer: AnswerRelay, result: AttemptResult) {
        end(result)
        answer.complete()
    }

    private fun failed(answer: AnswerRelay) {
        end(AttemptResult.ERROR)
        exchange.onError(decision.replica.id, answer)
    }

    private fun notRun(answer: AnswerRelay, counts: Boolean) {
        answer.discard()
        context.meters.refused()
        end(if (counts) AttemptResult.REFUSED else AttemptResult.BROKEN)
        exchange.onNotRun(decision.replica.id, counts)
    }

    private fun broken(reason: String, result: AttemptResult = AttemptResult.BROKEN) {
        relay?.discard()
        connection?.cancel()
        end(result)
        log("broken") { put("reason", reason) }
        exchange.onFailed(decision.replica.id, null, reason, HttpResponseStatus.BAD_GATEWAY)
    }

    private fun notSent(reason: String) {
        if (isOver) return
        end(AttemptResult.BROKEN)
        log("not sent") { put("reason", reason) }
        exchange.onNotSent(decision.replica.id, null)
    }

    private fun end(result: AttemptResult) {
        isOver = true
        val now = context.clock.now()
        state.end(work, result, now - startedAt, decision.load.requests, now)
    }

    /** Some hosts of the region share the pace at which a cold replica may be used. */
    private fun coldPause(): Duration {
        val rate = context.routingState.manifest?.services?.get(exchange.terms.service)?.coldRequestsPerSecond ?: 0.0
        if (rate <= 0) return Duration.ZERO
        return 1.seconds * (EntryHosts.COLD_SENDERS / rate)
    }

    private fun log(event: String, fields: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit) {
        context.log.write(LogPart.REQUEST, event) {
            put("request", exchange.facts.id.value)
            put("service", exchange.terms.service.value)
            put("replica", decision.replica.id.value)
            fields()
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Statuses by which the gateway promises its callers that a request was not run. */
        val PROMISING_STATUSES = setOf(408, 421, 429, 503)
    }
}
