package org.buckthornwheel.decision.attempt

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Limits the additional load that the retries of a host cause: each first attempt adds a share of one retry.
 *
 * @property share retries added by one first attempt.
 * @property capacity maximum retries in the budget; it starts full.
 */
public class RetryBudget(private val share: Double, private val capacity: Double) {
    private val lock = ReentrantLock()
    private var available = capacity

    /** Adds the share of a first attempt. */
    public fun deposit(): Unit = lock.withLock { available = minOf(capacity, available + share) }

    /** Withdraws one retry; false if none is left. */
    public fun tryWithdraw(): Boolean = lock.withLock {
        if (available < 1.0) return false
        available -= 1.0
        true
    }
}
