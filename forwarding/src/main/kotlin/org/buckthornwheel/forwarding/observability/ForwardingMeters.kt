package org.buckthornwheel.forwarding.observability

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Counters and latency histograms of the forwarder; [droppedLines] tells how many lines the log has dropped.
 *
 * They are made at their first use: setting up the registry takes a sixth of a host's start, and a host that stands by
 * hardly ever counts anything.
 */
public class ForwardingMeters(private val droppedLines: () -> Long) {
    private val meters by lazy { Meters(droppedLines) }

    /** A connection to a target was opened. */
    internal fun connectionOpened(): Unit = meters.connections.increment()

    /** A request was sent to a replica. */
    internal fun sent(isRetry: Boolean) {
        meters.sends.increment()
        if (isRetry) meters.repeats.increment()
    }

    /** A replica refused a request. */
    internal fun refused(): Unit = meters.refusals.increment()

    /** A request was passed on to another region. */
    internal fun forwarded(): Unit = meters.forwards.increment()

    /** A caller got an answer with [status] after [took]; status 0 stands for a broken one. */
    internal fun recordResponse(status: Int, took: Duration): Unit =
        meters.responseTimers(status).record(took.toJavaDuration())

    /** The text that a metrics collector reads. */
    public fun text(): String = meters.registry.scrape()
}

private class Meters(droppedLines: () -> Long) {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val connections = counter("buckthornwheel.target.connections")
    val sends = counter("buckthornwheel.target.sends")
    val refusals = counter("buckthornwheel.target.refusals")
    val repeats = counter("buckthornwheel.target.repeats")
    val forwards = counter("buckthornwheel.peer.forwards")
    private val responseTimers = HashMap<Int, Timer>()

    init {
        FunctionCounter.builder("buckthornwheel.log.dropped", droppedLines) { it().toDouble() }.register(registry)
    }

    fun responseTimers(status: Int): Timer = synchronized(responseTimers) {
        responseTimers.getOrPut(status) {
            Timer.builder("buckthornwheel.answers").tag("status", status.toString())
                .publishPercentileHistogram().register(registry)
        }
    }

    private fun counter(name: String): Counter = Counter.builder(name).register(registry)
}
