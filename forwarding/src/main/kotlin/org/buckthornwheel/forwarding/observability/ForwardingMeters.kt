package org.buckthornwheel.forwarding.observability

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Counters and latency histograms of request forwarding; [droppedLines] returns the number of lines dropped by the log.
 *
 * They are created at first use, since creating the registry takes a sixth of a host's start and a standby host rarely
 * counts anything.
 */
public class ForwardingMeters(private val droppedLines: () -> Long) {
    private val meters by lazy { Meters(droppedLines) }

    /** Counts a new connection to a target. */
    internal fun connectionOpened(): Unit = meters.connections.increment()

    /** Counts a request sent to a replica. */
    internal fun sent(isRetry: Boolean) {
        meters.sends.increment()
        if (isRetry) meters.repeats.increment()
    }

    /** Counts a request refused by a replica. */
    internal fun refused(): Unit = meters.refusals.increment()

    /** Counts a pause that a replica asked for. */
    internal fun paused(): Unit = meters.pauses.increment()

    /** Counts a response of a replica that broke off or was unusable. */
    internal fun broken(): Unit = meters.broken.increment()

    /** Counts a request that was rejected because of a quarantined prompt part. */
    internal fun quarantined(): Unit = meters.quarantined.increment()

    /** Counts a request forwarded to another region. */
    internal fun forwarded(): Unit = meters.forwards.increment()

    /** Records a response to a caller with [status] after [took]; status 0 stands for one that broke off. */
    internal fun recordResponse(status: Int, took: Duration): Unit =
        meters.responseTimer(status).record(took.toJavaDuration())

    /** The metrics in the Prometheus text format. */
    public fun text(): String = meters.registry.scrape()
}

private class Meters(droppedLines: () -> Long) {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val connections = counter("buckthornwheel.target.connections")
    val sends = counter("buckthornwheel.target.sends")
    val refusals = counter("buckthornwheel.target.refusals")
    val pauses = counter("buckthornwheel.target.pauses")
    val broken = counter("buckthornwheel.target.broken")
    val quarantined = counter("buckthornwheel.quarantine.rejections")
    val repeats = counter("buckthornwheel.target.repeats")
    val forwards = counter("buckthornwheel.peer.forwards")
    private val responseTimers = HashMap<Int, Timer>()

    init {
        FunctionCounter.builder("buckthornwheel.log.dropped", droppedLines) { it().toDouble() }.register(registry)
    }

    fun responseTimer(status: Int): Timer = synchronized(responseTimers) {
        responseTimers.getOrPut(status) {
            Timer.builder("buckthornwheel.answers").tag("status", status.toString())
                .publishPercentileHistogram().register(registry)
        }
    }

    private fun counter(name: String): Counter = Counter.builder(name).register(registry)
}
