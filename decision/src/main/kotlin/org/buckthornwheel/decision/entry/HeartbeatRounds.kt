package org.buckthornwheel.decision.entry

import kotlin.time.Duration

/**
 * Counts the rounds in which a host sends heartbeats, one each [interval], and tells who is due in them.
 *
 * A host that stands by is told of few others and has little to tell: it passes over most rounds, since working out
 * what to send costs more than sending it. Not safe for use by several threads.
 */
public class HeartbeatRounds(private val interval: Duration) {
    private var number = -1L
    private var standsBy = false

    /** Begins the next round; [isBusy] with requests in progress. Returns whether heartbeats are sent in it. */
    public fun begin(isBusy: Boolean): Boolean {
        number += 1
        return !standsBy || isBusy || number % STANDBY_ROUNDS == 0L
    }

    /** Whether this round is one of those for which [every] is the distance. */
    public fun isEach(every: Int): Boolean = number % every == 0L

    /** Notes in a round that is not passed over whether the host stands by. */
    public fun standsBy(now: Boolean) {
        standsBy = now
    }

    /** Whether [host] is due, which is told each [every]; hosts are spread over the rounds. */
    public fun isDue(host: EntryHost, every: Duration): Boolean {
        if (standsBy) return true
        val rounds = maxOf(1, (every / interval).toInt())
        return (number + Math.floorMod(host.name.value.hashCode(), rounds)) % rounds == 0L
    }

    private companion object {
        /** A host that stands by sends in one of so many rounds, as often as primary hosts expect it. */
        const val STANDBY_ROUNDS = 4
    }
}
