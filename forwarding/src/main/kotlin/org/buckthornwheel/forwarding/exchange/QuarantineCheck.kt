package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.QuarantineAdmission
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.quarantine.RequestIdentity
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/** Applies the quarantine to one request, and records what its attempts reveal about its prompt parts and itself. */
internal class QuarantineCheck(private val context: ForwardingContext, private val request: ReceivedRequest) {
    /** The prompt parts that other requests may share. */
    private val parts: List<String> = request.metadata.parts.dropLast(1).map { it.id }
    private var probedPart: String? = null

    /** The whole request; computed only once requests are suspected, since it takes time for each request. */
    private val identity: String by lazy(LazyThreadSafetyMode.NONE) { RequestIdentity.of(target(), content()) }

    /** Whether the request is a probe of a quarantined part, which is sent once and by this host only. */
    val isProbe: Boolean get() = probedPart != null

    /** Why the request must not be sent at [now]; null if it may be. */
    fun rejection(now: MonotonicInstant): QuarantineAdmission.Rejected? {
        if (isProbe) return null
        val suspects = parts + listOfNotNull(suspectIdentity())
        return when (val admission = context.quarantine.admit(suspects, now) { context.hosts.mayProbe(it, now) }) {
            QuarantineAdmission.Admitted -> null
            is QuarantineAdmission.Rejected -> admission
            is QuarantineAdmission.Probe -> null.also { probedPart = admission.part }
        }
    }

    /** How long after its arrival the request is sent at the earliest; zero for one that was not lost repeatedly. */
    fun delay(): Duration = suspectIdentity()?.takeUnless { isProbe }?.let(context.quarantine::delay) ?: Duration.ZERO

    /** Whether the request may be sent again after its replica was lost. */
    fun permitsRetry(): Boolean = !isProbe && context.quarantine.mayRetry(parts, suspectIdentity())

    /** Records that the request was sent to a replica. */
    fun recordSent(now: MonotonicInstant) {
        val part = probedPart ?: return
        context.quarantine.recordProbe(part, now)
        context.log.write(LogPart.QUARANTINE, "probe sent") {
            put("request", request.metadata.id.value)
            put("prompt-part", part)
        }
    }

    /** Records that a replica completed the request. */
    fun recordCompletion(now: MonotonicInstant) {
        val suspect = suspectIdentity()
        if (parts.isNotEmpty() || suspect != null) context.quarantine.recordCompletion(parts, now, suspect)
    }

    /**
     * Records the loss of the connection to [run]; [isCertain] is false if its response may have been complete. An idle
     * connection that the replica had dropped before it got the request ([isStale]) is no evidence against the request.
     */
    fun recordLoss(run: ReplicaRun, isCertain: Boolean, now: MonotonicInstant, isStale: Boolean = false) {
        val suspect = if (isStale) null else identityIfReadable()
        if (request.metadata.parts.isEmpty() && suspect == null) return
        context.quarantine.recordLoss(run, parts, isCertain, now, suspect)
    }

    /** A short text that is the same for each attempt of the request, for log lines. */
    fun identityText(): String = identityIfReadable().orEmpty()

    private fun suspectIdentity(): String? = if (context.quarantine.hasSuspectRequests) identityIfReadable() else null

    private fun identityIfReadable(): String? = if (request.body.refCnt() > 0) identity else null

    private fun target(): List<String> = listOf(
        request.head.headers().get(HttpHeaderNames.HOST).orEmpty().lowercase(),
        request.head.method().name(),
        request.head.uri(),
    )

    /** The whole prompt, whose last part no other request shares; the body of a request without a prompt. */
    private fun content(): List<ByteArray> {
        val prompt = request.metadata.parts.map { it.id.encodeToByteArray() }
        return prompt.ifEmpty { bodySample(request.body) }
    }

    /** Beginning, end and length of [body], so that a large one does not delay other requests of the event loop. */
    private fun bodySample(body: ByteBuf): List<ByteArray> {
        val size = body.readableBytes()
        val half = minOf(size, SAMPLE_BYTES)
        val beginning = ByteArray(half).also { body.getBytes(body.readerIndex(), it) }
        val end = ByteArray(half).also { body.getBytes(body.readerIndex() + size - half, it) }
        return listOf(size.toString().encodeToByteArray(), beginning, end)
    }

    private companion object {
        const val SAMPLE_BYTES = 8_192
    }
}
