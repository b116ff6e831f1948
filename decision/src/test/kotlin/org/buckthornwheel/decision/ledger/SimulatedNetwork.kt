package org.buckthornwheel.decision.ledger

import kotlin.coroutines.resume
import kotlin.coroutines.suspendCoroutine
import kotlin.random.Random

/** A process that executes tasks unless it is paused or has crashed. */
internal open class Process {
    var alive = true
    var pausedUntil = 0
}

/** A scheduler that executes tasks in random order, and loses, delays and duplicates messages. */
internal class SimulatedNetwork(val random: Random, private val lossRate: Double) {
    private class Task(val owner: Process, val notBefore: Int, val run: () -> Unit)

    private val tasks = ArrayList<Task>()

    var step = 0
        private set

    fun schedule(owner: Process, delay: Int = 0, run: () -> Unit) {
        tasks.add(Task(owner, step + delay, run))
    }

    /** Executes one task; false if none is left. */
    fun advance(): Boolean {
        step += 1
        tasks.removeIf { !it.owner.alive }
        if (tasks.isEmpty()) return false
        val runnable = tasks.filter { it.notBefore <= step && it.owner.pausedUntil <= step }
        if (runnable.isNotEmpty()) runnable.random(random).also { tasks.remove(it) }.run()
        return true
    }

    suspend fun pause(owner: Process): Unit = suspendCoroutine { continuation ->
        schedule(owner, PAUSE_STEPS) { continuation.resume(Unit) }
    }

    /** The result of [handler] on [to], or null if the request or the answer was lost or late. */
    suspend fun <Result : Any> call(
        from: Process,
        to: Process,
        reachable: () -> Boolean = { true },
        handler: () -> Result,
    ): Result? = suspendCoroutine { continuation ->
        var resumed = false
        fun answer(result: Result?) {
            if (!resumed) {
                resumed = true
                continuation.resume(result)
            }
        }
        schedule(from, TIMEOUT_STEPS) { answer(null) }
        val copies = if (random.nextDouble() < DUPLICATION_RATE) 2 else 1
        repeat(copies) {
            if (!isLost()) {
                schedule(to, random.nextInt(1 + random.nextInt(MAXIMUM_DELAY_STEPS))) {
                    if (reachable()) {
                        val result = handler()
                        if (!isLost()) schedule(from) { if (reachable()) answer(result) }
                    }
                }
            }
        }
    }

    private fun isLost(): Boolean = random.nextDouble() < lossRate

    private companion object {
        const val PAUSE_STEPS = 15
        const val TIMEOUT_STEPS = 60
        const val MAXIMUM_DELAY_STEPS = 80
        const val DUPLICATION_RATE = 0.1
    }
}
