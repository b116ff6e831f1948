/*
 * The limit that a replica names, over all hosts of its region: kept as the operators' rule LIMIT says, and used.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.decision.account.AccountLimit
import org.buckthornwheel.decision.account.LimitUnit
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

internal class SharedReplicaLimitsTest {
    private val replica = AccountName("replica-1")

    /** Requests a second as a multiple of the limit at a host at a time. */
    private class Course(val name: String, val demand: (second: Double, host: Int, hosts: Int) -> Double)

    private val courses = listOf(
        Course("in excess at all hosts") { _, _, hosts -> 10.0 / hosts },
        Course("in excess at one host") { _, host, _ -> if (host == 0) 5.0 else 0.0 },
        Course("uneven") { _, host, hosts -> 8.0 * (host + 1) / (hosts * (hosts + 1)) },
        Course("moving") { second, host, hosts -> if ((second / 3).toInt() % hosts == host) 4.0 else 0.2 / hosts },
        Course("all at once after pauses") { second, _, hosts -> if (second % 4 < 2) 10.0 / hosts else 0.0 },
    )

    private val disturbances = mapOf(
        "none" to Disturbance(),
        "lost, doubled and late messages" to Disturbance(lost = 0.2, doubled = 0.1, late = 0.1),
        "a host that joins" to Disturbance(
            restartsAt = { host -> 8.0.takeIf { host == 1 } },
            isFrozen = { second, host -> host == 1 && second < 8 },
        ),
        "a host that freezes" to Disturbance(isFrozen = { second, host -> host == 1 && second in 8.0..13.0 }),
        "a host that is cut off" to Disturbance(
            isCut = { second, from, to -> (from == 0) != (to == 0) && second in 8.0..14.0 },
        ),
    )

    private fun limit(rate: Double) = AccountLimit(LimitUnit.REQUESTS, rate, rate, plainTokens = 0)

    private fun play(
        course: Course,
        hosts: Int,
        disturbance: Disturbance,
        seed: Int,
        rate: (second: Double) -> Double,
    ) = QuotaPlay(
        hosts,
        regions = 1,
        { limit(rate(0.0)) },
        listOf(
            Traffic(replica, cost = 1.0) { second, host ->
                course.demand(second, host, hosts) * maxOf(rate(second), LEAST_DEMAND)
            },
        ),
        disturbance,
        seed,
        PlayedSharing.REPLICAS,
    ) { _, second -> limit(rate(second)) }.run(SECONDS)

    /** The requests by which the worst window exceeds what the rule allows; negative if none does. */
    private fun excess(play: QuotaPlay, rate: (second: Double) -> Double): Double {
        val admitted = play.admitted.getValue(replica)
        val sums = admitted.runningFold(0.0, Double::plus)
        val allowed = admitted.indices.runningFold(0.0) { sum, step -> sum + ALLOWED * rate(step / STEPS) / STEPS }
        val window = (WINDOW_SECONDS * STEPS).toInt()
        return (window until sums.size).maxOf {
            sums[it] - sums[it - window] - (allowed[it] - allowed[it - window]) - TOLERATED
        }
    }

    private fun cases(check: (hosts: Int, rate: Double) -> Unit): List<DynamicTest> = HOSTS.flatMap { hosts ->
        RATES.map { rate -> dynamicTest("$hosts hosts, $rate requests a second") { check(hosts, rate) } }
    }

    @TestFactory
    fun `a replica gets no more than its limit allows`(): List<DynamicTest> = cases { hosts, rate ->
        for ((name, disturbance) in disturbances) {
            for (course in courses) {
                for (seed in 1..SEEDS) {
                    val play = play(course, hosts, disturbance, seed) { rate }
                    expectThat(excess(play) { rate }).describedAs("excess, ${course.name}, $name, seed $seed")
                        .isLessThanOrEqualTo(0.0)
                }
            }
        }
    }

    @TestFactory
    fun `a lowered limit holds`(): List<DynamicTest> = cases { hosts, rate ->
        val lowered = { second: Double -> if (second < 10) rate else rate / 4 }
        for (course in courses) {
            for (seed in 1..SEEDS) {
                expectThat(excess(play(course, hosts, Disturbance(), seed, lowered), lowered))
                    .describedAs("excess, ${course.name}, seed $seed").isLessThanOrEqualTo(0.0)
            }
        }
    }

    /** With demand above the limit, what is left over is what moving callers and late reports cost. */
    @TestFactory
    fun `most of the limit is used while demand is above it`(): List<DynamicTest> = cases { hosts, rate ->
        for (course in courses.dropLast(1)) {
            val used = (1..SEEDS).map { seed ->
                play(course, hosts, Disturbance(), seed) { rate }.admitted.getValue(replica).sum() /
                    (maxOf(rate, PROBES) * SECONDS)
            }.average()
            expectThat(used).describedAs("used, ${course.name}").isGreaterThanOrEqualTo(LEAST_USED)
        }
    }

    private companion object {
        const val SECONDS = 24.0
        const val STEPS = 100.0

        /** The operators' rule. */
        const val WINDOW_SECONDS = 4.0
        const val ALLOWED = 1.5
        const val TOLERATED = 5.0

        /** A replica that asks for relief loses little if its limit is not filled, and much if it is exceeded. */
        const val LEAST_USED = 0.6
        const val SEEDS = 5
        const val LEAST_DEMAND = 1.0

        /** Requests a second that a replica with the limit 0 gets. */
        const val PROBES = 0.25
        val HOSTS = listOf(1, 2, 4, 9)
        val RATES = listOf(0.0, 1.0, 3.5, 12.0, 60.0)
    }
}
