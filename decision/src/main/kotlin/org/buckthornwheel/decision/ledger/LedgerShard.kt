package org.buckthornwheel.decision.ledger

import org.buckthornwheel.api.MonotonicInstant
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** One shard of a ledger: a part of its keys under one lock. */
internal class LedgerShard(private val maximumKeys: Int, private val retryWindow: Duration) {
    private data class KeyRecord(val state: ActionState, val changedAt: MonotonicInstant)

    private val lock = ReentrantLock()
    private val keys = HashMap<ActionKey, KeyRecord>()

    fun apply(
        key: ActionKey,
        event: ActionEvent,
        now: MonotonicInstant,
        refusesNew: (full: Boolean) -> Boolean,
    ): LedgerDecision = lock.withLock {
        val known = keys[key]
        val isNew = known == null
        if (isNew && refusesNew(keys.size >= maximumKeys)) {
            return LedgerDecision.Closed("this host accepts no new keys")
        }
        val state = known?.state ?: ActionState.Unseen
        val transition = ActionStateTable.apply(state, event)
        store(key, state, transition.state, now)
        transition.decision
    }

    fun entries(): List<Pair<ActionKey, ActionState>> = lock.withLock { keys.map { it.key to it.value.state } }

    fun size(): Int = lock.withLock { keys.size }

    fun forget(now: MonotonicInstant): Unit = lock.withLock {
        keys.values.removeIf { it.isSettled() && now - it.changedAt > retryWindow }
    }

    private fun store(key: ActionKey, before: ActionState, after: ActionState, now: MonotonicInstant) {
        when {
            after == ActionState.Unseen -> keys.remove(key)
            after != before -> keys[key] = KeyRecord(after, now)
        }
    }

    private fun KeyRecord.isSettled(): Boolean = state !is ActionState.Claimed && state !is ActionState.Running
}
