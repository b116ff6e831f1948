package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.routing.RendezvousHash
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Limits of a ledger.
 *
 * @property retryWindow how long a key is kept after its state last changed; callers do not retry later.
 * @property maximumKeys maximum number of keys; beyond it new keys are refused, and no key is evicted early.
 */
public data class LedgerLimits(public val retryWindow: Duration, public val maximumKeys: Int)

/**
 * The state of every action key that this incarnation knows; decides whether the action may still be run.
 *
 * The state is sharded by key, with one lock for each shard; [ActionStateTable] has the transition rules.
 */
public class ActionLedger(public val self: RegisteredHost, private val limits: LedgerLimits) {
    private val shards = List(SHARDS) { LedgerShard(limits.maximumKeys / SHARDS + 1, limits.retryWindow) }
    private val lastHoldNumber = AtomicLong()

    /** Whether new keys are refused because the host is leaving. */
    @Volatile
    public var isClosed: Boolean = false
        private set

    /** Handles a caller's request for the action [key]. */
    public fun request(key: ActionKey, bodySha256: String, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.Requested(bodySha256, HoldNumber(lastHoldNumber.incrementAndGet())), now)

    /** Marks the key as running before hold [number] sends the action; only [LedgerDecision.Proceed] permits it. */
    public fun start(key: ActionKey, number: HoldNumber, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.Started(number), now)

    /** Records the [result] of the run under hold [number]. */
    public fun end(key: ActionKey, number: HoldNumber, result: ActionResult, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.Ended(number, result), now)

    /** Ends the attempt with hold [number], which has sent nothing. */
    public fun abandon(key: ActionKey, number: HoldNumber, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.Abandoned(number), now)

    /** Handles a peer's request to promise [key] to [hold], which means to refuse it to everyone else from now on. */
    public fun promise(key: ActionKey, bodySha256: String, hold: Hold, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.PromiseAsked(bodySha256, hold, prefers(key, hold.holder)), now)

    /** Releases the promise given to [hold], which has ended without a run. */
    public fun release(key: ActionKey, hold: Hold, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.Released(hold), now)

    /** Answers another host's query for the result of [key]. */
    public fun resultOf(key: ActionKey, bodySha256: String, now: MonotonicInstant): LedgerDecision =
        apply(key, ActionEvent.ResultAsked(bodySha256), now)

    /** Merges an entry from another host or the platform; entries are accepted even beyond the limit of keys. */
    public fun learn(entry: ActionEntry, now: MonotonicInstant): LedgerDecision {
        val state = entry.state
        if (state is KnownState.HeldElsewhere && state.hold.holder == self) return LedgerDecision.Ignored
        return apply(entry.key, ActionEvent.Learned(entry.bodySha256, state), now)
    }

    /** Refuses new keys and promises from now on; existing holds stay valid. */
    public fun close() {
        isClosed = true
    }

    /** Whether rendezvous hashing ranks [other] before this host for [key]. */
    public fun prefers(key: ActionKey, other: RegisteredHost): Boolean =
        RendezvousHash.order(key.toString(), listOf(self, other)) { it.toString() }.first() == other

    /** The entries of [shard], to be copied to another host. */
    public fun export(shard: Int): ImmutableList<ActionEntry> =
        shards[shard].entries().mapNotNull { (key, state) -> entryOf(key, state) }.toImmutableList()

    /** Removes keys whose retry window has passed at [now]. */
    public fun forget(now: MonotonicInstant): Unit = shards.forEach { it.forget(now) }

    /** Number of keys in the ledger. */
    public fun size(): Int = shards.sumOf { it.size() }

    private fun apply(key: ActionKey, event: ActionEvent, now: MonotonicInstant): LedgerDecision {
        val addsKey = event is ActionEvent.Requested || event is ActionEvent.PromiseAsked
        val shard = shards[Math.floorMod(key.hashCode(), SHARDS)]
        return shard.apply(key, event, now, refusesNew = { full -> addsKey && (isClosed || full) })
    }

    private fun entryOf(key: ActionKey, state: ActionState): ActionEntry? = when (state) {
        ActionState.Unseen -> null
        is ActionState.Promised -> ActionEntry(key, state.bodySha256, KnownState.HeldElsewhere(state.hold))
        is ActionState.Claimed -> ActionEntry(key, state.bodySha256, ownHold(state.number))
        is ActionState.Running -> ActionEntry(key, state.bodySha256, ownHold(state.number))
        is ActionState.Completed -> ActionEntry(key, state.bodySha256, KnownState.Ended(state.result))
        is ActionState.Unknown ->
            ActionEntry(key, state.bodySha256, KnownState.Ended(ActionResult.Lost(state.detail)))
    }

    private fun ownHold(number: HoldNumber): KnownState = KnownState.HeldElsewhere(Hold(self, number))

    /** Constants shared by all ledgers. */
    public companion object {
        /** Number of shards; a ledger is copied to another host shard by shard. */
        public const val SHARDS: Int = 64
    }
}
