package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaAttemptResult
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaLoad
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.buckthornwheel.forwarding.connection.ConnectFailure
import org.buckthornwheel.forwarding.connection.ConnectionFailure
import org.buckthornwheel.forwarding.connection.ResponseListener
import org.buckthornwheel.forwarding.connection.TargetConnection
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.ResponseMetadata
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/** An attempt that sends a request to a replica of this host's region. */
internal class ReplicaAttempt(
    private val context: ForwardingContext,
    private val proxiedRequest: ProxiedRequest,
    private val state: ReplicaState,
    private val decision: PlacementDecision.Local,
    claim: ReplicaClaim,
    private val permit: RetryPermit,
    isBoundToVersion: Boolean,
    private val startedAt: MonotonicInstant,
) : Attempt,
    ResponseListener {
    private val work = ReplicaLoad(
        requests = 1,
        tokens = proxiedRequest.metadata.promptTokens.toLong() +
            (proxiedRequest.metadata.expectedOutputTokens ?: proxiedRequest.metadata.outputTokens),
        prefillTokens = decision.missingTokens.toLong(),
    )
    private val run = ReplicaRun(decision.replica.id, decision.replica.startedAt)
    private val permission = SendPermission(context, proxiedRequest, state, decision.replica, isBoundToVersion, claim)
    private val announcements = ReplicaAnnouncements(context, state, run, proxiedRequest.metadata.id, startedAt)
    private var connection: TargetConnection? = null
    private var isFramed = false
    private var relay: ResponseRelay? = null
    private var responseMetadata: ResponseMetadata? = null
    private var isSent = false
    private var isEnded = false

    /** Whether data that the caller can use has arrived. */
    var hasStartedResponding: Boolean = false
        private set

    override val version: SoftwareVersion get() = decision.replica.version

    /** The replica that the request is sent to. */
    val replica: ReplicaId get() = decision.replica.id

    /** Predicted time until the response starts. */
    val predicted: Duration get() = decision.predicted

    /** Time since the attempt began. */
    val elapsed: Duration get() = context.clock.now() - startedAt

    fun start(pool: TargetPool, headers: HttpHeaders, request: ReceivedRequest, lastEventId: String?) {
        permission.recordStart(work, startedAt)
        context.reads.add(decision.replica.id, proxiedRequest.metadata.parts, startedAt)
        log("sent") {
            proxiedRequest.describePlacement(this)
            put("predicted", decision.predicted.inWholeMilliseconds)
            put("missing", decision.missingTokens)
            put("load", decision.load.requests)
            put("memory", decision.load.tokens)
            put("version", version.value)
            put("parts", sharedPartsText())
            decision.fetchFrom?.let { put("fetch", it.id.value) }
            lastEventId?.let { put("after", it) }
        }
        pool.acquire(
            TargetKey(decision.replica.address, decision.replica.id.value, decision.replica.startedAt),
            use = { newConnection -> sendOrWithdraw(pool, newConnection, headers, request) },
            fail = ::notSent,
        )
    }

    override fun cancel() {
        if (isEnded) return
        end(ReplicaAttemptResult.ABANDONED)
        relay?.discard()
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
        responseMetadata = received
        PeerEnvelope.remove(head.headers())
        if (received.sharesMachine) context.replicas.recordSharedMachine()
        received.requestsAtReplica?.let { state.recordSelfReportedLoad(it, context.clock.now()) }
        unusableReason(received, head)?.let { return broken(it) }
        announcements.record(received, head.status())
        relay = connection?.let {
            ResponseRelay(proxiedRequest, head, it.responseMemory) { proxiedRequest.onResponding(this) }
        }
        isFramed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
        if (!proxiedRequest.policy.isStreaming) recordProgress()
    }

    override fun onContent(content: ByteBuf) {
        val currentRelay = relay
        if (isEnded || currentRelay == null) {
            content.release()
            return
        }
        when (currentRelay.add(content)) {
            RelayResult.USABLE -> recordProgress()
            RelayResult.INCOMPLETE -> Unit
            RelayResult.TOO_LONG -> broken("too long a response")
        }
    }

    override fun onComplete() {
        if (isEnded) return
        connection = null
        val response = relay ?: return
        val received = responseMetadata ?: return
        if (response.isInsideEvent) return endedInsideEvent()
        val code = response.status.code()
        when {
            received.isWrongReplica -> notRun(response, counts = false)
            received.isCertainlyNotRun -> notRun(response, counts = true)
            response.status.codeClass() == HttpStatusClass.SUCCESS -> succeeded(response)
            code in NOT_EXECUTED_STATUSES -> broken("status $code without a statement that the request was not run")
            code >= FIRST_SERVER_ERROR -> failed(response)
            else -> complete(response, ReplicaAttemptResult.ANSWERED)
        }
    }

    override fun onFailure(failure: ConnectionFailure) {
        if (isEnded) return
        if (failure.isConnectionLost) {
            proxiedRequest.quarantine.recordLoss(run, isCertain = true, context.clock.now(), failure.isStale)
        }
        val result = if (failure.isStale) ReplicaAttemptResult.ABANDONED else ReplicaAttemptResult.BROKEN
        broken(failure.reason, result)
    }

    /** Sends the request elsewhere if the replica said that it wants none or fewer while the connection was opened. */
    private fun sendOrWithdraw(
        pool: TargetPool,
        opened: TargetConnection,
        headers: HttpHeaders,
        request: ReceivedRequest,
    ) {
        val reason = if (isEnded) null else permission.refusal(context.clock.now())
        if (reason == null) return send(opened, headers, request)
        pool.release(opened)
        end(ReplicaAttemptResult.ABANDONED)
        log("not sent") { put("reason", reason) }
        proxiedRequest.onNotSent(this, decision.replica.id, null)
    }

    private fun send(newConnection: TargetConnection, headers: HttpHeaders, request: ReceivedRequest) {
        if (isEnded) {
            context.log.write(LogPart.REQUEST, "connection unused") { put("request", proxiedRequest.metadata.id.value) }
            newConnection.close()
            return
        }
        connection = newConnection
        isSent = true
        proxiedRequest.onSent()
        proxiedRequest.quarantine.recordSent(context.clock.now())
        context.meters.sent(proxiedRequest.isRetry)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri(), headers)
        newConnection.send(head, request.body.retainedDuplicate(), this)
    }

    /** Why a response with this [head] cannot be the response to the request; null if it may be. */
    private fun unusableReason(received: ResponseMetadata, head: HttpResponse): String? = when {
        received.requestId == null && connection?.isReused == true -> "response without request id on a used connection"
        received.isUnsignedSuccess(head) -> "successful response without signature"
        else -> null
    }

    /** Records progress of the replica: data that the caller can use, not single bytes. */
    private fun recordProgress() {
        if (hasStartedResponding) {
            state.recordProgress(0, null, null, context.clock.now())
            return
        }
        hasStartedResponding = true
        val now = context.clock.now()
        state.recordProgress(work.prefillTokens, now - startedAt, decision.predicted, now)
        context.queues.recordResponseStart(proxiedRequest.policy, now - startedAt)
        context.hedges.recordStart(proxiedRequest.policy.service, decision.predicted, now - startedAt)
    }

    private fun endedInsideEvent() {
        proxiedRequest.quarantine.recordLoss(run, isCertain = !isFramed, context.clock.now())
        broken("stream ended inside an event")
    }

    /** A response without framing ends with its connection, as it would in a crash of the replica. */
    private fun succeeded(response: ResponseRelay) {
        val now = context.clock.now()
        if (isFramed) {
            proxiedRequest.quarantine.recordCompletion(now)
        } else {
            proxiedRequest.quarantine.recordLoss(run, isCertain = false, now)
        }
        complete(response, ReplicaAttemptResult.ANSWERED)
    }

    private fun complete(response: ResponseRelay, result: ReplicaAttemptResult) {
        end(result)
        response.complete()
    }

    private fun failed(response: ResponseRelay) {
        end(ReplicaAttemptResult.ERROR)
        proxiedRequest.onError(this, decision.replica.id, response)
    }

    private fun notRun(response: ResponseRelay, counts: Boolean) {
        response.discard()
        context.meters.refused()
        end(if (counts) ReplicaAttemptResult.REFUSED else ReplicaAttemptResult.BROKEN)
        proxiedRequest.onNotRun(this, decision.replica.id, counts)
    }

    private fun broken(reason: String, result: ReplicaAttemptResult = ReplicaAttemptResult.BROKEN) {
        relay?.discard()
        connection?.cancel()
        end(result)
        if (result == ReplicaAttemptResult.BROKEN) context.meters.broken()
        log("broken") {
            put("reason", reason)
            put("run", decision.replica.startedAt)
            put("begun", hasStartedResponding)
            put("parts", sharedPartsText())
            put("content", proxiedRequest.quarantine.identityText())
            put("milliseconds", (context.clock.now() - startedAt).inWholeMilliseconds)
        }
        proxiedRequest.onFailed(this, AttemptFailure(decision.replica.id, null, reason))
    }

    private fun notSent(failure: ConnectFailure) {
        if (failure.isRefused) context.quarantine.recordRefusal(run, context.clock.now())
        if (isEnded) return
        end(ReplicaAttemptResult.BROKEN)
        log("not sent") { put("reason", failure.reason) }
        proxiedRequest.onNotSent(this, decision.replica.id, null)
    }

    private fun end(result: ReplicaAttemptResult) {
        isEnded = true
        if (!isSent) {
            permission.giveBack()
            permit.giveBack()
        }
        val now = context.clock.now()
        state.recordEnd(work, result, now - startedAt, decision.load.requests, now)
        val isAnswered = result == ReplicaAttemptResult.ANSWERED
        context.queues.onAttemptEnded(proxiedRequest.policy, isAnswered, now - startedAt, now)
    }

    private fun log(event: String, fields: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit) {
        context.log.write(LogPart.REQUEST, event) {
            put("request", proxiedRequest.metadata.id.value)
            put("service", proxiedRequest.policy.service.value)
            put("replica", decision.replica.id.value)
            fields()
        }
    }

    /** Identifiers of the prompt parts that other requests may share. */
    private fun sharedPartsText(): String =
        proxiedRequest.metadata.parts.dropLast(1).take(MAXIMUM_LOGGED_PARTS).joinToString(",") { it.id }

    private companion object {
        const val FIRST_SERVER_ERROR = 500

        /** Limit on the length of a log line. */
        const val MAXIMUM_LOGGED_PARTS = 8

        /** Statuses with which the gateway guarantees its callers that a request was not run. */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
    }
}
