package org.buckthornwheel.decision.account

import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RevocationGuardTest {
    private val bound = 5.seconds
    private val guard = RevocationGuard(bound)
    private val machine = Machine()

    /** The clocks of a machine; [elapsed] is the true time. */
    private class Machine {
        var elapsed = Duration.ZERO
        private var steady = MonotonicInstant(0) + 100.seconds
        private var timeOfDay = 1_796_378_654_445.milliseconds

        fun now() = ClockReading(steady, timeOfDay.inWholeMilliseconds)

        fun run(duration: Duration) {
            suspend(duration)
            steady += duration
        }

        fun suspend(duration: Duration) {
            elapsed += duration
            timeOfDay += duration
        }

        fun setTimeOfDay(by: Duration) {
            timeOfDay += by
        }
    }

    private fun isOpen() = guard.isOpen(machine.now())

    private fun prove() = guard.readApplied(guard.readSent(machine.now()))

    @Test
    fun `the guard is closed until the first read is answered`() {
        expectThat(isOpen()).isFalse()
        val read = guard.readSent(machine.now())
        machine.run(100.milliseconds)
        expectThat(isOpen()).isFalse()
        guard.readApplied(read)
        expectThat(isOpen()).isTrue()
    }

    @Test
    fun `the time counts from the sending of the answered read`() {
        val read = guard.readSent(machine.now())
        machine.run(3_900.milliseconds)
        guard.readApplied(read)
        expectThat(isOpen()).isTrue()
        machine.run(100.milliseconds)
        expectThat(isOpen()).isFalse()
    }

    @Test
    fun `an unanswered read keeps nothing open, and an answer that comes late does not replace a newer one`() {
        prove()
        val hung = guard.readSent(machine.now())
        machine.run(2.seconds)
        prove()
        guard.readApplied(hung)
        machine.run(3.seconds)
        expectThat(isOpen()).isTrue()
        guard.readSent(machine.now())
        machine.run(1.seconds)
        expectThat(isOpen()).isFalse()
    }

    @Test
    fun `time for which the machine was suspended counts`() {
        prove()
        machine.suspend(4.seconds)
        expectThat(isOpen()).isFalse()
        prove()
        expectThat(isOpen()).isTrue()
    }

    @Test
    fun `a time of day that is set forward closes the guard until a later read, and one set back extends nothing`() {
        prove()
        machine.setTimeOfDay(3_600.seconds)
        expectThat(isOpen()).isFalse()
        prove()
        expectThat(isOpen()).isTrue()
        machine.setTimeOfDay((-7_200).seconds)
        expectThat(isOpen()).isTrue()
        machine.suspend(4.seconds)
        expectThat(isOpen()).isFalse()
    }

    /** Guards against a suspension that is hidden because the time of day was set back after it. */
    @Test
    fun `a suspension counts also after the time of day was set back by as much`() {
        prove()
        machine.suspend(3.seconds)
        expectThat(isOpen()).isTrue()
        machine.setTimeOfDay((-3).seconds)
        machine.run(1.seconds)
        expectThat(isOpen()).isFalse()
    }

    @Test
    fun `reading the clocks often does not age the proof`() {
        prove()
        repeat(3_000) {
            machine.run(1_234.microseconds)
            guard.age(machine.now())
        }
        expectThat(isOpen()).isTrue()
    }

    /** The host looks at its clocks after each change of the time of day, as it does for each request and heartbeat. */
    @Test
    fun `whatever the clocks do, keys are never accepted longer than the bound after the last proof`() {
        for (seed in 0 until 2_000) play(Random(seed))
    }

    private fun play(random: Random) {
        val machine = Machine()
        val guard = RevocationGuard(bound)
        var provenAt = Duration.ZERO
        var pending: Pair<RevocationGuard.Read, Duration>? = null
        repeat(60) {
            val step = random.nextInt(1, 2_500).milliseconds
            when (random.nextInt(7)) {
                0, 1 -> machine.run(step)
                2 -> machine.suspend(step)
                3 -> machine.setTimeOfDay(step * (random.nextInt(9) - 4))
                4, 5 -> pending = guard.readSent(machine.now()) to machine.elapsed
                6 -> pending?.let { (read, sentAt) ->
                    guard.readApplied(read)
                    provenAt = maxOf(provenAt, sentAt)
                    pending = null
                }
            }
            if (guard.isOpen(machine.now())) expectThat(machine.elapsed - provenAt).isLessThan(bound)
        }
    }
}
