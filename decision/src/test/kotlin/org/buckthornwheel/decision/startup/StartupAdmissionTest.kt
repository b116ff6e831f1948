/*
 * Requests that arrive at a host before it knows the manifest.
 *
 * Rejecting them makes callers connect again to hosts in the same state. Holding them for long keeps callers of a host
 * that cannot reach the store from trying another one.
 */

package org.buckthornwheel.decision.startup

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class StartupAdmissionTest {
    private val start = MonotonicInstant(0)
    private val admission = StartupAdmission(start)

    /** Hosts of two far regions and a near one, as they learned the manifest after a loss of power of all hosts. */
    private fun learnedAfter(random: Random): Duration =
        if (random.nextInt(3) == 0) random.nextInt(60, 240).milliseconds else random.nextInt(280, 580).milliseconds

    /** When a caller that arrives [arrival] after the start is accepted, if it comes back after each rejection. */
    private fun acceptedAfter(arrival: Duration, learned: Duration, mayWait: (Duration) -> Boolean): Duration {
        var now = arrival
        while (now < learned) now = if (mayWait(now)) learned else now + RETURN
        return now - arrival
    }

    @Test
    fun `callers are accepted sooner than with a rejection, whenever they arrive`() {
        val random = Random(SEED)
        val arrivals = List(CALLERS) { random.nextInt(600).milliseconds to learnedAfter(random) }
        val waiting = arrivals.map { (at, learned) -> acceptedAfter(at, learned) { admission.mayWait(start + it) } }
        val rejected = arrivals.map { (at, learned) -> acceptedAfter(at, learned) { false } }
        expectThat(rejected.zip(waiting).count { (before, after) -> after > before }).isEqualTo(0)
        val total = { times: List<Duration> -> times.fold(Duration.ZERO, Duration::plus) }
        expectThat(total(waiting)).isLessThan(total(rejected))
    }

    @Test
    fun `a caller of a host that learns no manifest waits for a bounded time`() {
        val longest = (0 until 2_000).map { it.milliseconds }.last { admission.mayWait(start + it) }
        expectThat(longest).isLessThanOrEqualTo(StartupAdmission.MAXIMUM_WAIT)
    }

    private companion object {
        const val SEED = 20_261_204
        const val CALLERS = 1_000

        /** A rejected caller comes back after the 0.2 s of `Retry-After`, on a new connection. */
        val RETURN = 204.milliseconds
    }
}
