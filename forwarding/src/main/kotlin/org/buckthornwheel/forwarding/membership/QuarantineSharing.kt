package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.decision.quarantine.QuarantineChange
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration

/**
 * Keeps [quarantine] up to date and shares it with other hosts.
 *
 * @param onQuarantined called when parts were added.
 * @param onDecision called for each change that this host decided on its own.
 */
internal class QuarantineSharing(
    private val quarantine: PromptPartQuarantine,
    private val replicas: ReplicaRegistry,
    private val log: DecisionLog,
    private val onQuarantined: () -> Unit,
    private val onDecision: (QuarantineChange) -> Unit,
) {
    /** Decides on the evidence up to [now] and returns what the heartbeats of this round tell; null for nothing. */
    fun update(now: MonotonicInstant): QuarantineMessage? {
        val changes = quarantine.update(now, replicas::isRegistered)
        apply(changes)
        changes.forEach(onDecision)
        return QuarantineMessage.of(quarantine.report(now), now)
    }

    /** Applies the [message] of the host [peer]. */
    fun receive(message: QuarantineMessage, peer: String, now: MonotonicInstant) {
        apply(quarantine.merge(message.report(now), now)) { put("peer", peer) }
    }

    /** Adds a [part] that a host quarantined [age] before [now], according to a record outside the hosts. */
    fun addRecorded(part: String, age: Duration, now: MonotonicInstant) {
        apply(quarantine.addRecorded(part, age, now)) { put("source", "record") }
    }

    private fun apply(changes: List<QuarantineChange>, source: JsonObjectBuilder.() -> Unit = {}) {
        for (change in changes) {
            when (change) {
                is QuarantineChange.Quarantined -> log.write(LogPart.QUARANTINE, "part quarantined") {
                    put("prompt-part", change.part)
                    put("replicas", change.runs.joinToString(",") { it.replica.value })
                    source()
                }

                is QuarantineChange.Released -> log.write(LogPart.QUARANTINE, "part released") {
                    put("prompt-part", change.part)
                    source()
                }
            }
        }
        if (changes.any { it is QuarantineChange.Quarantined }) onQuarantined()
    }
}
