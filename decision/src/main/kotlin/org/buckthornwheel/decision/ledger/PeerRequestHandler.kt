package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.buckthornwheel.api.MonotonicInstant

/** A peer's answer to a newcomer: whether its memory is [whole], and whom else it knows. */
@Serializable
public data class HelloAnswer(public val whole: Boolean, public val registered: Set<RegisteredHost>)

/** What this incarnation answers to the other hosts of its zone. */
public class PeerRequestHandler(private val ledger: ActionLedger, private val register: ZoneRegistry) {
    /** Answers a request for the promise of [key] to [hold]. */
    public fun promise(key: ActionKey, bodySha256: String, hold: Hold, now: MonotonicInstant): PromiseAnswer {
        if (!register.hasCompleteHistory) return PromiseAnswer.NotGiven
        return when (val decision = ledger.promise(key, bodySha256, hold, now)) {
            is LedgerDecision.Granted -> PromiseAnswer.Granted(register.others())
            is LedgerDecision.Seen -> PromiseAnswer.Seen(decision.hold)
            else -> PromiseAnswer.NotGiven
        }
    }

    /** Takes in that [hold] has ended without a run. */
    public fun release(key: ActionKey, hold: Hold, now: MonotonicInstant) {
        ledger.release(key, hold, now)
    }

    /** Answers what came of [key]. */
    public fun resultOf(key: ActionKey, bodySha256: String, now: MonotonicInstant): HolderAnswer =
        HolderAnswer.of(ledger.resultOf(key, bodySha256, now))

    /** Greets [newcomer], which is named in every promise from now on. */
    public fun handleHello(newcomer: RegisteredHost): HelloAnswer {
        register.add(listOf(newcomer))
        return HelloAnswer(register.hasCompleteHistory && !ledger.isClosed, register.others())
    }

    /** The keys of [shard] for a newcomer that has said hello. */
    public fun exportShard(shard: Int): ImmutableList<ActionEntry> =
        if (shard in 0 until ActionLedger.SHARDS) ledger.export(shard) else persistentListOf()

    /** Takes the [entries] of a leaving peer; false if this host is leaving itself or not yet whole. */
    public fun handOver(entries: List<ActionEntry>, now: MonotonicInstant): Boolean {
        entries.forEach { ledger.learn(it, now) }
        return register.hasCompleteHistory && !ledger.isClosed
    }

    /** [leaver] has handed its keys over and is gone; it knew [registered]. */
    public fun handleFarewell(leaver: RegisteredHost, registered: Collection<RegisteredHost>) {
        register.add(registered)
        register.depart(leaver)
    }
}
