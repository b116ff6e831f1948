package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornwheel.api.MonotonicInstant

/** A peer's answer to an incarnation that joins: whether the peer's history is complete, and which others it knows. */
@Serializable
public data class HelloAnswer(
    @SerialName("whole")
    public val hasCompleteHistory: Boolean,
    public val registered: Set<RegisteredHost>,
)

/** Answers the requests of the other hosts of the zone. */
public class PeerRequestHandler(private val ledger: ActionLedger, private val registry: ZoneRegistry) {
    /** Handles a request to promise [key] to [hold]. */
    public fun promise(key: ActionKey, bodySha256: String, hold: Hold, now: MonotonicInstant): PromiseAnswer {
        if (!registry.hasCompleteHistory) return PromiseAnswer.NotGiven
        return when (val decision = ledger.promise(key, bodySha256, hold, now)) {
            is LedgerDecision.Granted -> PromiseAnswer.Granted(registry.others())
            is LedgerDecision.Seen -> PromiseAnswer.Seen(decision.hold)
            else -> PromiseAnswer.NotGiven
        }
    }

    /** Releases the promise given to [hold], which has ended without a run. */
    public fun release(key: ActionKey, hold: Hold, now: MonotonicInstant) {
        ledger.release(key, hold, now)
    }

    /** Answers a query for the result of [key]. */
    public fun resultOf(key: ActionKey, bodySha256: String, now: MonotonicInstant): HolderAnswer =
        HolderAnswer.of(ledger.resultOf(key, bodySha256, now))

    /** Adds [newcomer] to the registry, so that every later promise names it. */
    public fun handleHello(newcomer: RegisteredHost): HelloAnswer {
        registry.add(listOf(newcomer))
        return HelloAnswer(registry.hasCompleteHistory && !ledger.isClosed, registry.others())
    }

    /** The entries of [shard], for an incarnation that joins. */
    public fun exportShard(shard: Int): ImmutableList<ActionEntry> =
        if (shard in 0 until ActionLedger.SHARDS) ledger.export(shard) else persistentListOf()

    /** Merges the [entries] of a leaving peer; false if this host is leaving too or has no complete history yet. */
    public fun handOver(entries: List<ActionEntry>, now: MonotonicInstant): Boolean {
        entries.forEach { ledger.learn(it, now) }
        return registry.hasCompleteHistory && !ledger.isClosed
    }

    /** Removes [leaver], which has handed its keys over, and adds the incarnations that it knew. */
    public fun handleFarewell(leaver: RegisteredHost, registered: Collection<RegisteredHost>) {
        registry.add(registered)
        registry.remove(leaver)
    }
}
