package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.decision.quarantine.QuarantineChange
import org.buckthornwheel.decision.quarantine.RequestIdentity
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/**
 * Keeps [quarantine] up to date and shares it with other hosts.
 *
 * @param isRecorder whether this host records a decision on a whole request. There may be many in a short time, which
 *   all hosts make or adopt, so only one of them does.
 * @param onQuarantined called when parts were added.
 * @param onDecision called for each change that this host decided on its own.
 */
internal class QuarantineSharing(
    private val quarantine: PromptPartQuarantine,
    private val replicas: ReplicaRegistry,
    private val log: DecisionLog,
    private val isRecorder: (String) -> Boolean,
    private val onQuarantined: () -> Unit,
    private val onDecision: (QuarantineChange) -> Unit,
) {
    /** Decides on the evidence up to [now] and returns what the heartbeats of this round tell; null for nothing. */
    fun update(now: MonotonicInstant): QuarantineMessage? {
        val changes = quarantine.update(now, replicas::isRegistered)
        apply(changes)
        changes.filter { !RequestIdentity.isRequest(it.part) || isRecorder(it.part) }.forEach(onDecision)
        return QuarantineMessage.of(quarantine.report(now), now)
    }

    /** Applies the [message] of the host [peer]. */
    fun receive(message: QuarantineMessage, peer: String, now: MonotonicInstant) {
        val changes = quarantine.merge(message.report(now), now)
        apply(changes) { put("peer", peer) }
        changes.filter { RequestIdentity.isRequest(it.part) && isRecorder(it.part) }.forEach(onDecision)
    }

    /** Whether the next round should reach all hosts at once. */
    fun takeUrgency(): Boolean = quarantine.takeUrgency()

    /** Adds a [part] that a host quarantined [age] before [now], according to a record outside the hosts. */
    fun addRecorded(part: String, age: Duration, now: MonotonicInstant) {
        apply(quarantine.addRecorded(part, age, now)) { put("source", "record") }
    }

    private fun apply(changes: List<QuarantineChange>, source: JsonObjectBuilder.() -> Unit = {}) {
        for (change in changes) {
            when (change) {
                is QuarantineChange.Quarantined -> log.write(LogPart.QUARANTINE, "${kindOf(change)} quarantined") {
                    put("prompt-part", change.part)
                    put("replicas", change.runs.joinToString(",") { it.replica.value })
                    source()
                }

                is QuarantineChange.Released -> log.write(LogPart.QUARANTINE, "${kindOf(change)} released") {
                    put("prompt-part", change.part)
                    source()
                }
            }
        }
        if (changes.any { it is QuarantineChange.Quarantined }) onQuarantined()
    }

    private fun kindOf(change: QuarantineChange): String =
        if (RequestIdentity.isRequest(change.part)) "request" else "part"
}
