package org.buckthornwheel.measurement.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.locks.LockSupport
import kotlin.math.ln
import kotlin.random.Random

/**
 * Generates open-loop load: the intended start of a request does not depend on earlier responses.
 *
 * Latency is measured from the intended start, which avoids coordinated omission: a slow system cannot delay the
 * requests that measure it.
 */
public class LoadDriver : AutoCloseable {
    private val call = CompletionCall()

    /** Runs all [plans] concurrently and returns their results in the same order. */
    public suspend fun run(plans: List<LoadPlan>): List<LoadResult> = coroutineScope {
        plans.map { async(Dispatchers.IO) { run(it) } }.awaitAll()
    }

    /** Runs [plan] and returns when its last request has ended. */
    public suspend fun run(plan: LoadPlan): LoadResult = coroutineScope {
        val result = LoadResult(plan.measured)
        val begin = System.nanoTime()
        val recordFrom = begin + plan.warmUp.inWholeNanoseconds
        val end = recordFrom + plan.measured.inWholeNanoseconds
        intendedStarts(plan, begin, end).forEachIndexed { number, start ->
            LockSupport.parkNanos(start - System.nanoTime())
            launch(Dispatchers.Default) {
                val finished = call.run(plan, number.toLong(), start)
                if (start >= recordFrom) result.record(finished)
            }
        }
        result
    }

    override fun close(): Unit = call.close()

    private fun intendedStarts(plan: LoadPlan, begin: Long, end: Long): Sequence<Long> {
        val random = Random(plan.seed)
        val meanGap = NANOSECONDS_PER_SECOND / plan.requestsPerSecond
        return generateSequence(begin) { it + (-ln(1 - random.nextDouble()) * meanGap).toLong() }
            .takeWhile { it < end }
    }

    private companion object {
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
