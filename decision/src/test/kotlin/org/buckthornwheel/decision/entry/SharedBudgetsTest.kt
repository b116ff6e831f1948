/*
 * Budgets that all hosts share, while the hosts' views of each other differ.
 *
 * After a loss of power all hosts start within a second, and each knows few of the others. If each takes the part that
 * its own view allows, all hosts together exceed the budget.
 */

package org.buckthornwheel.decision.entry

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.replica.ReplicaId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class SharedBudgetsTest {
    private val start = MonotonicInstant(0) + 100.seconds
    private val replica = ReplicaId("cold")
    private val region = RegionName("north")

    private fun profile(number: Int) = EntryHostProfile(
        HostName("host-$number"),
        Incarnation(1),
        ZoneName(if (number % 2 == 0) "north-a" else "north-b"),
        region,
        NetworkAddress("10.0.0.1", 80),
        NetworkAddress("10.0.0.1", 81),
        cores = CORES[number % CORES.size],
    )

    /** A host of a region that starts as a whole: it learns of each other host some time after both have started. */
    private class StartingHost(
        val profile: EntryHostProfile,
        val startedAt: MonotonicInstant,
        settlingTime: Duration,
    ) {
        val hosts = KnownEntryHosts(profile)
        val budgets = SharedBudgets(hosts, settlingTime, WINDOW) { startedAt }
        var nextColdRequestAt = startedAt
    }

    private class Learning(
        val learner: StartingHost,
        val other: EntryHostProfile,
        val at: MonotonicInstant,
        val isHeard: Boolean,
    )

    private fun startingHosts(random: Random, settlingTime: Duration): List<StartingHost> =
        (1..HOSTS).map { StartingHost(profile(it), start + random.nextInt(1_000).milliseconds, settlingTime) }

    private fun learnings(random: Random, all: List<StartingHost>): List<Learning> = all.flatMap { learner ->
        (all - learner).map { other ->
            val bothStarted = maxOf(learner.startedAt, other.startedAt)
            val delay = random.nextInt(LONGEST_LEARNING_MILLISECONDS).milliseconds
            Learning(learner, other.profile, bothStarted + delay, random.nextBoolean())
        }
    }.sortedBy { it.at }

    private fun learn(learning: Learning) = with(learning) {
        if (isHeard) learner.hosts.recordHeartbeat(other, isReady = true, 60.seconds, at)
        if (!isHeard) learner.hosts.addRegistered(other)
    }

    /** The times at which all hosts together send a request to a cold replica that each of them would like to use. */
    private fun coldRequests(seed: Int, rate: Double, settlingTime: Duration): List<MonotonicInstant> {
        val random = Random(seed)
        val all = startingHosts(random, settlingTime)
        val pending = ArrayDeque(learnings(random, all))
        val sent = ArrayList<MonotonicInstant>()
        for (step in 0 until SIMULATED_MILLISECONDS step STEP_MILLISECONDS) {
            val now = start + step.milliseconds
            while (pending.isNotEmpty() && pending.first().at <= now) learn(pending.removeFirst())
            for (host in all) {
                if (now < host.nextColdRequestAt || !host.budgets.mayUseColdReplica(replica, now)) continue
                host.nextColdRequestAt = now + 1.seconds * (KnownEntryHosts.COLD_REPLICA_HOSTS / rate)
                sent += now
            }
        }
        return sent
    }

    private fun mostInOneSecond(times: List<MonotonicInstant>): Int =
        times.maxOfOrNull { first -> times.count { it >= first && it - first < 1.seconds } } ?: 0

    @Nested
    inner class `given hosts that start within a second of each other` {
        @Test
        fun `all of them together keep to the request rate of a cold replica`() {
            val exceeded = RATES.flatMap { rate ->
                (1..SEEDS).filter { mostInOneSecond(coldRequests(it, rate, SETTLING_TIME)) > rate * OVERAGE + SLACK }
            }
            expectThat(exceeded).isEmpty()
        }

        @Test
        fun `the replica is used again after they have settled`() {
            expectThat(coldRequests(seed = 1, rate = 2.0, SETTLING_TIME).isEmpty()).isFalse()
        }

        @Test
        fun `all of them together keep to the retry allowance while every request fails`() {
            val now = start + 1.seconds
            val retries = (1..HOSTS).sumOf { number ->
                val host = StartingHost(profile(number), start, SETTLING_TIME)
                val budget = WindowedRetryBudget(0.2, ALLOWANCE, 10.seconds, ratioShare = 0.95, allowanceShare = 0.7)
                repeat(REQUESTS) { budget.recordRequest(SERVICE, now) }
                generateSequence { budget.tryWithdraw(SERVICE, host.budgets.retrySharers(now), now) }
                    .takeWhile { it }.count()
            }
            expectThat(retries.toDouble()).isLessThanOrEqualTo(0.2 * HOSTS * REQUESTS + ALLOWANCE)
        }

        @Test
        fun `a host that has not learned the estate takes no part of a budget`() {
            val budgets = SharedBudgets(KnownEntryHosts(profile(1)), SETTLING_TIME, WINDOW) { null }
            expectThat(budgets.retrySharers(start)).isNull()
            expectThat(budgets.mayUseColdReplica(replica, start)).isFalse()
        }
    }

    /** The retries that a host sends which is killed and started again at each of [starts], and uses all it may. */
    private fun retriesOfRestartedHost(starts: List<Duration>): Int = starts.sumOf { at ->
        val host = StartingHost(profile(1), start + at, SETTLING_TIME)
        for (number in 2..HOSTS) host.hosts.addRegistered(profile(number))
        val budget = WindowedRetryBudget(0.2, ALLOWANCE, WINDOW, ratioShare = 0.95, allowanceShare = 0.7)
        val end = start + at + TIME_BETWEEN_STARTS
        generateSequence { budget.tryWithdraw(SERVICE, host.budgets.retrySharers(end), end) }.takeWhile { it }.count()
    }

    // Each process of a host took the host's part of the allowance, several times within a window.
    @Test
    fun `a host that starts several times within a window takes its part of the retry allowance once`() {
        val starts = List((WINDOW / TIME_BETWEEN_STARTS).toInt()) { TIME_BETWEEN_STARTS * it }
        expectThat(retriesOfRestartedHost(starts).toDouble()).isLessThanOrEqualTo(ALLOWANCE / HOSTS)
    }

    @Nested
    inner class `given a region that is partitioned for longer than hosts count as heard` {
        private val all = (1..HOSTS).map { StartingHost(profile(it), start, Duration.ZERO) }
        private val later = start + 60.seconds

        private fun partition() {
            for (host in all) {
                for (other in all - host) {
                    host.hosts.addRegistered(other.profile)
                    host.hosts.recordHeartbeat(other.profile, isReady = true, 1.seconds, start)
                    val isNear = other.profile.zone == host.profile.zone
                    if (isNear) host.hosts.recordHeartbeat(other.profile, isReady = true, 1.seconds, later)
                }
                host.hosts.removeExpired(later)
            }
        }

        @Test
        fun `both parts together use a cold replica with no more hosts than before`() {
            partition()
            expectThat(all.count { it.budgets.mayUseColdReplica(replica, later) })
                .isEqualTo(KnownEntryHosts.COLD_REPLICA_HOSTS)
        }

        @Test
        fun `each host counts the silent hosts that are still registered among the sharers of retries`() {
            partition()
            expectThat(all.all { it.budgets.retrySharers(later) == HOSTS }).isTrue()
        }
    }

    private companion object {
        val CORES = listOf(0.36, 0.75, 1.5)
        val SETTLING_TIME = SharedBudgets.SETTLING_TIME
        val RATES = listOf(0.5, 1.0, 2.27, 5.0, 20.0)
        val SERVICE = ServiceName("ledger")

        /** The users' bounds for requests to a cold replica in one second. */
        const val OVERAGE = 1.5
        const val SLACK = 3.0
        const val ALLOWANCE = 180.0
        const val REQUESTS = 20
        const val HOSTS = 24
        val WINDOW = 10.seconds
        val TIME_BETWEEN_STARTS = 4.seconds
        const val SEEDS = 100
        val LONGEST_LEARNING_MILLISECONDS = SharedBudgets.LEARNING_TIME.inWholeMilliseconds.toInt()
        const val SIMULATED_MILLISECONDS = 6_000
        const val STEP_MILLISECONDS = 30
    }
}
