package org.buckthornwheel.decision.attempt

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Bounds how much a host adds to the load by retries: each first attempt earns a share of one retry.
 *
 * @property share retries earned by one first attempt.
 * @property capacity retries that can be saved up; the budget starts full.
 */
public class RetryBudget(private val share: Double, private val capacity: Double) {
    private val lock = ReentrantLock()
    private var available = capacity

    /** Counts a first attempt. */
    public fun deposit(): Unit = lock.withLock { available = minOf(capacity, available + share) }

    /** Takes one retry out of the budget; false if none is left. */
    public fun tryWithdraw(): Boolean = lock.withLock {
        if (available < 1.0) return false
        available -= 1.0
        true
    }
}
