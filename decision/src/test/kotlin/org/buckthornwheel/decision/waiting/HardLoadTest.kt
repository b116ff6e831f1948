/*
 * Load patterns of the users' letter, each with what must hold for callers, beside the way without a queue.
 */

package org.buckthornwheel.decision.waiting

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class HardLoadTest {
    private class Plays(val ordered: WaitingPlay, val today: WaitingPlay)

    /** Plays the same load with the queue and without it, and checks what holds under any load. */
    private fun play(
        name: String,
        kinds: List<PlayedKind>,
        returns: Int = 1,
        returnAfter: Duration? = null,
        seed: Int = 1,
        places: (Double) -> Int,
    ): Plays {
        val (ordered, today) = listOf(true, false).map {
            WaitingPlay(kinds, places, isOrdered = it, returns, returnAfter, seed).run(15.0)
        }
        for (kind in kinds.map { it.name }) {
            println("$name, $kind: queue ${ordered.kind(kind)}, today ${today.kind(kind)}")
        }
        expectThat(ordered.exits).isEqualTo(ordered.entries)
        expectThat(ordered.idleWhileWaiting).isEqualTo(0)
        return Plays(ordered, today)
    }

    private fun question(accounts: Map<String, Double> = mapOf("one" to 1.0), rate: (Double) -> Double) =
        PlayedKind("question", 2, 400, 200.milliseconds, 1500.milliseconds, 6.seconds, accounts, rate)

    private fun review(rate: (Double) -> Double) =
        PlayedKind("review", 0, 17_000, 400.milliseconds, 1.seconds, 12.seconds, rate = rate)

    private fun placesInTime(play: WaitingPlay): Int = play.kind("question").onTime + 2 * play.kind("review").onTime

    /** Factor of a burst that starts after 4 s and lasts 5.6 s. */
    private fun burst(time: Double): Double = if (time in 4.0..9.6) 2.3 else 1.0

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3])
    fun `a burst of one kind leaves the more urgent kind on time and fills the places with requests in time`(
        seed: Int,
    ) {
        val kinds = listOf(question { 60 * burst(it) }, review { 5.0 })
        val plays = play("burst", kinds, seed = seed) { 20 }
        expectThat(plays.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.95)
        // Places allow 90 questions a second beside the reviews; without the burst, all 60 a second are on time.
        expectThat(plays.ordered.kind("question").onTime).isGreaterThan((0.9 * (60 * 9.4 + 90 * 5.6)).toInt())
        // Of the places that requests get in time, no fewer than today; a review takes two of a question's.
        expectThat(placesInTime(plays.ordered)).isGreaterThanOrEqualTo(placesInTime(plays.today))
    }

    @Test
    fun `a burst of large prompts does not starve short questions`() {
        val kinds = listOf(question { 40.0 }, review { 12 * burst(it) })
        val plays = play("large prompts", kinds) { 20 }
        expectThat(plays.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.9)
        expectThat(plays.ordered.kind("question").shareOnTime).isGreaterThan(0.75)
    }

    @Test
    fun `a burst while a fifth of the replicas is gone`() {
        val kinds = listOf(question { 60 * burst(it) }, review { 5.0 })
        val plays = play("burst and loss", kinds) { if (it in 4.0..9.6) 16 else 20 }
        expectThat(plays.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.95)
        expectThat(plays.ordered.kind("question").onTime).isGreaterThan((0.9 * (60 * 9.4 + 70 * 5.6)).toInt())
    }

    @Test
    fun `a burst of large prompts while a fifth of the replicas is gone`() {
        val kinds = listOf(question { 40.0 }, review { 12 * burst(it) })
        val plays = play("large prompts and loss", kinds) { if (it in 4.0..9.6) 16 else 20 }
        expectThat(plays.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.9)
        // Reviews take 11 of 16 places, which leaves 25 questions a second their place.
        expectThat(plays.ordered.kind("question").onTime).isGreaterThan((0.9 * (40 * 9.4 + 25 * 5.6)).toInt())
    }

    @Test
    fun `an account with eight times its usual demand does not take the places of the others`() {
        val usual = listOf("a", "b", "c", "d")
        fun share(time: Double) = if (time in 4.0..10.0) 8.0 else 1.0
        val quiet = PlayedKind(
            "usual",
            2,
            400,
            200.milliseconds,
            1500.milliseconds,
            6.seconds,
            usual.associateWith { 1.0 },
        ) { 60.0 }
        val loud = PlayedKind("loud", 2, 400, 200.milliseconds, 1500.milliseconds, 6.seconds, mapOf("e" to 1.0)) {
            15 * share(it)
        }
        val plays = play("loud account", listOf(quiet, loud)) { 20 }
        // The four need 60 of 100 places a second, each less than a fifth; they lose nothing to the fifth account.
        expectThat(plays.ordered.kind("usual").shareOnTime).isGreaterThanOrEqualTo(0.95)
        expectThat(plays.ordered.kind("loud").onTime).isGreaterThanOrEqualTo((0.9 * (15 * 9 + 40 * 6)).toInt())
    }

    @Test
    fun `callers that return at once three times gain nothing over patient ones and cost no place`() {
        val kinds = listOf(question { 60 * burst(it) }, review { 5.0 })
        val eager = play("eager callers", kinds, returns = 3, returnAfter = 5.milliseconds) { 20 }
        val patient = play("patient callers", kinds) { 20 }
        expectThat(eager.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.95)
        expectThat(eager.ordered.kind("question").onTime)
            .isLessThan((patient.ordered.kind("question").onTime * 1.05).toInt())
    }

    @Test
    fun `all replicas of a zone are lost and come back cold`() {
        val kinds = listOf(question { 60.0 }, review { 5.0 })
        val plays = play("lost zone", kinds) {
            if (it < 4) {
                20
            } else if (it < 7) {
                8
            } else if (it < 10) {
                12
            } else {
                20
            }
        }
        // With 8 places, 40 places a second are left: reviews take 10 of these, questions up to 30.
        expectThat(plays.ordered.kind("review").shareOnTime).isGreaterThanOrEqualTo(0.9)
        expectThat(plays.ordered.kind("question").onTime).isGreaterThan((0.85 * (60 * 9 + 30 * 3 + 50 * 3)).toInt())
    }

    @Test
    fun `capacity for a third of the load for 10 s, then for all of it`() {
        val kinds = listOf(question { 90.0 })
        val plays = play("third", kinds) { if (it in 2.0..12.0) 6 else 24 }
        expectThat(plays.ordered.kind("question").onTime).isGreaterThan((0.9 * (90 * 5 + 30 * 10)).toInt())
        // Nobody is held for long in vain: on average less than a quarter of the target for each caller.
        val question = plays.ordered.kind("question")
        expectThat(question.heldInVain / question.asked).isLessThan(1500.milliseconds / 4)
    }
}
