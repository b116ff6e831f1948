/*
 * The part of a heartbeat that tells other hosts about crashed replicas and quarantined prompt parts.
 *
 * Hosts have no common clock, so times are sent as ages in milliseconds.
 */

package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.cbor.CborLabel
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.PartCompletion
import org.buckthornwheel.decision.quarantine.QuarantineReport
import org.buckthornwheel.decision.quarantine.QuarantinedPart
import org.buckthornwheel.decision.quarantine.ReplicaCrash
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A shared prompt part and its position in the prompt. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class SuspectMessage(val part: String, val position: Int)

/** A crash of a replica, and the shared prompt parts of the requests that were in progress there. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class CrashMessage(
    val replica: String,
    val startedAt: Long,
    val age: Long,
    val isConfirmed: Boolean,
    val suspects: List<SuspectMessage>,
)

/** A completed request with a suspected or quarantined part. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class CompletionMessage(val part: String, val age: Long)

/** A quarantined part; [probeIn] is the time until the next probe, [idle] the time since the last request. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class QuarantinedPartMessage(
    val part: String,
    val age: Long,
    val probes: Int,
    val probeIn: Long,
    val idle: Long,
)

/** All of this that a host knows. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class QuarantineMessage(
    @CborLabel(1) val crashes: List<CrashMessage>,
    @CborLabel(2) val completions: List<CompletionMessage>,
    @CborLabel(3) val quarantined: List<QuarantinedPartMessage>,
) {
    /** The report in terms of the receiver's clock, which shows [now]. */
    fun report(now: MonotonicInstant): QuarantineReport = QuarantineReport(
        crashes.take(MAXIMUM_ENTRIES).map { it.crash(now) },
        completions.take(MAXIMUM_ENTRIES).map { PartCompletion(it.part, now - duration(it.age)) },
        quarantined.take(MAXIMUM_ENTRIES).map { it.quarantinedPart(now) },
    )

    private fun CrashMessage.crash(now: MonotonicInstant): ReplicaCrash = ReplicaCrash(
        ReplicaRun(ReplicaId(replica), startedAt),
        now - duration(age),
        isConfirmed,
        suspects.take(MAXIMUM_ENTRIES).associate { it.part to it.position },
    )

    private fun QuarantinedPartMessage.quarantinedPart(now: MonotonicInstant): QuarantinedPart = QuarantinedPart(
        part,
        since = now - duration(age),
        probes = maxOf(0, probes),
        nextProbeAt = now + duration(probeIn),
        requestedAt = now - duration(idle),
    )

    /** Conversion. */
    companion object {
        /** Limits on what a damaged message can do. */
        private const val MAXIMUM_ENTRIES = 64
        private const val MAXIMUM_MILLISECONDS = 3_600_000L

        /** The message with [report] at [now]; null if there is nothing to tell. */
        fun of(report: QuarantineReport, now: MonotonicInstant): QuarantineMessage? {
            if (report.isEmpty) return null
            return QuarantineMessage(
                report.crashes.map { crash ->
                    CrashMessage(
                        crash.run.replica.value,
                        crash.run.startedAt,
                        (now - crash.at).inWholeMilliseconds,
                        crash.isConfirmed,
                        crash.suspects.map { (part, position) -> SuspectMessage(part, position) },
                    )
                },
                report.completions.map { CompletionMessage(it.part, (now - it.at).inWholeMilliseconds) },
                report.quarantined.map { quarantinedPart(it, now) },
            )
        }

        private fun quarantinedPart(entry: QuarantinedPart, now: MonotonicInstant) = QuarantinedPartMessage(
            entry.part,
            age = (now - entry.since).inWholeMilliseconds,
            probes = entry.probes,
            probeIn = maxOf(0, (entry.nextProbeAt - now).inWholeMilliseconds),
            idle = (now - entry.requestedAt).inWholeMilliseconds,
        )

        private fun duration(milliseconds: Long): Duration = milliseconds.coerceIn(0, MAXIMUM_MILLISECONDS).milliseconds

        private operator fun MonotonicInstant.minus(duration: Duration): MonotonicInstant = this + -duration
    }
}
