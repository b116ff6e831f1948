package org.buckthornwheel.daemon.action

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.ledger.ActionClaim
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A result that is not recorded in the platform yet; [version] is the version of its stored claim, if known. */
internal data class PendingResult(val claim: ActionClaim, val version: Long?)

/**
 * Writes results to the platform in the background, so that callers do not wait for the writes.
 *
 * Limits the rate of writes and retries each one until the platform accepts it.
 */
internal class ResultRecorder(private val claims: ClaimStore, registry: MeterRegistry) {
    private val queue = Channel<PendingResult>(Channel.UNLIMITED)
    private val pending = AtomicInteger()
    private val runs = registry.counter("buckthornwheel.actions.runs")
    private val promisedRuns = registry.counter("buckthornwheel.actions.promised.runs")

    init {
        registry.gauge("buckthornwheel.actions.results.pending", pending) { it.get().toDouble() }
    }

    /** Number of results that are not recorded in the platform yet. */
    val backlog: Int get() = pending.get()

    fun record(result: PendingResult, promised: Boolean) {
        runs.increment()
        if (promised) promisedRuns.increment()
        pending.incrementAndGet()
        queue.trySend(result)
    }

    /** Runs until it is cancelled. */
    suspend fun run() {
        for (result in queue) {
            write(result)
            pending.decrementAndGet()
            delay(WRITE_INTERVAL)
        }
    }

    private suspend fun write(result: PendingResult) {
        var version = result.version
        while (true) {
            val failure = claims.record(result.claim, version).leftOrNull() ?: return
            Part.ACTION.warn("A result could not be recorded: ${failure.detail} at ${failure.peer}.")
            version = null
            delay(RETRY_DELAY)
        }
    }

    private companion object {
        val WRITE_INTERVAL = 5.milliseconds
        val RETRY_DELAY = 1.seconds
    }
}
