/*
 * The limit of an account over all hosts: never exceeded beyond what the operators tolerate, and used.
 *
 * One bucket for all hosts would need a round trip for each request. Without one, hosts with old views of each other
 * admit too much when an account comes to all of them at once, or too little when its callers move.
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

internal class SharedAccountQuotasTest {
    private val account = AccountName("account-1")

    private fun limit(rate: Double) = AccountLimit(LimitUnit.TOKENS, rate, rate, plainTokens = 400)

    /** Demand as a multiple of the rate at a host in one of three regions at a time. */
    private class Course(
        val name: String,
        val from: Double,
        val demand: (second: Double, host: Int, hosts: Int) -> Double,
    )

    private val usual = Course("usual", 3.0) { _, _, hosts -> 0.7 / hosts }
    private val oneHost = Course("all at one host", 3.0) { _, host, _ -> if (host == 0) 0.7 else 0.0 }
    private val hot = Course("eight times the usual", 3.0) { second, _, hosts ->
        (if (second in 10.0..18.0) 5.6 else 0.7) / hosts
    }
    private val burst = Course("a burst at one host after a pause", 10.0) { second, host, _ ->
        if (second >= 10.0 && host == 0) 5.6 else 0.0
    }
    private val burstEverywhere = Course("a burst at all hosts after a pause", 10.0) { second, _, hosts ->
        if (second >= 10.0) 5.6 / hosts else 0.0
    }

    private fun moving(name: String, demand: Double) = Course(name, 5.0) { second, host, hosts ->
        val zone = (second / 5).toInt() % REGIONS
        val arrived = minOf(1.0, second % 5)
        val part = if (host % REGIONS == zone) {
            arrived
        } else if ((host + 1) % REGIONS == zone) {
            1 - arrived
        } else {
            0.0
        }
        part * demand / (hosts / REGIONS)
    }

    private val moving = moving("moving", 0.7)
    private val movingInExcess = moving("moving in excess", 2.0)
    private val courses = listOf(usual, oneHost, hot, burst, burstEverywhere, moving)

    private val disturbances = mapOf(
        "lost, doubled and late messages" to Disturbance(lost = 0.2, doubled = 0.1, late = 0.1),
        "regions cut off" to Disturbance(isCut = { second, from, to -> second in 9.0..18.0 && from % 3 != to % 3 }),
        "all hosts cut off" to Disturbance(isCut = { second, _, _ -> second in 9.0..15.0 }),
        "all hosts restarted" to Disturbance(restartsAt = { 12.0 + it * 0.02 }),
    )

    private fun play(course: Course, rate: Double, hosts: Int, seed: Int, disturbance: Disturbance = Disturbance()) =
        QuotaPlay(hosts, REGIONS, {
            limit(rate)
        }, traffic(account, rate, hosts, course), disturbance, seed).run(SECONDS)

    private fun traffic(account: AccountName, rate: Double, hosts: Int, course: Course) =
        listOf(17_000.0 to 0.8, 400.0 to 0.2).map { (cost, part) ->
            Traffic(account, cost) { second, host -> course.demand(second, host, hosts) * rate * part }
        }

    private fun plays(hosts: List<Int>, check: (rate: Double, hosts: Int, seeds: IntRange) -> Unit): List<DynamicTest> =
        RATES.flatMap { rate ->
            hosts.map { count ->
                val seeds = 1..SEEDS.getValue(count)
                dynamicTest("$rate units a second at $count primary hosts") { check(rate, count, seeds) }
            }
        }

    private fun expectWithinLimit(play: QuotaPlay, name: String) {
        expectThat(play.excess(account)).describedAs("excess, $name").isLessThanOrEqualTo(play.tolerated(account))
    }

    /** A single request is more than 2% of what the smallest account may use in a play, so the plays count together. */
    private fun expectUsed(course: Course, rate: Double, hosts: Int, seeds: IntRange) {
        val part = seeds.map { play(course, rate, hosts, it).part(account, course.from, SECONDS) }.average()
        expectThat(part).describedAs("part, ${course.name}").isGreaterThanOrEqualTo(LEAST_PART)
    }

    @TestFactory
    fun `an account does not exceed its limit beyond what is tolerated`(): List<DynamicTest> =
        plays(ALL_SIZES) { rate, hosts, seeds ->
            for (seed in seeds) {
                for (course in courses + movingInExcess) {
                    expectWithinLimit(play(course, rate, hosts, seed), "${course.name}, seed $seed")
                }
            }
        }

    @TestFactory
    fun `a disturbance does not let an account exceed its limit`(): List<DynamicTest> =
        plays(ALL_SIZES) { rate, hosts, seeds ->
            for ((name, disturbance) in disturbances) {
                for (course in listOf(hot, burstEverywhere)) {
                    for (seed in seeds) {
                        val play = play(course, rate, hosts, seed, disturbance)
                        expectWithinLimit(play, "${course.name}, $name, seed $seed")
                    }
                }
            }
        }

    @TestFactory
    fun `an account gets its limit`(): List<DynamicTest> = plays(listOf(3, 20)) { rate, hosts, seeds ->
        for (course in courses) expectUsed(course, rate, hosts, seeds)
    }

    @TestFactory
    fun `an account gets its limit at 400 hosts`(): List<DynamicTest> = plays(listOf(100)) { rate, hosts, seeds ->
        for (course in courses) expectUsed(course, rate, hosts, seeds)
    }

    @TestFactory
    fun `an account in excess whose callers move gets its limit`(): List<DynamicTest> =
        plays(ALL_SIZES) { rate, hosts, seeds -> expectUsed(movingInExcess, rate, hosts, seeds) }

    private companion object {
        const val REGIONS = 3
        const val SECONDS = 24.0
        const val LEAST_PART = 0.95
        val RATES = listOf(860_312.0, 150_000.0, 47_000.0)

        /** Primary hosts of estates with 3, 79 and 400 hosts, and how many plays of each. */
        val SEEDS = mapOf(3 to 4, 20 to 4, 100 to 1)
        val ALL_SIZES = SEEDS.keys.toList()
    }
}
