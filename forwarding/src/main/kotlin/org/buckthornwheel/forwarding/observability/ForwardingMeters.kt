package org.buckthornwheel.forwarding.observability

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Counters and latency histograms of the forwarder. */
public class ForwardingMeters {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val answers = HashMap<Int, Timer>()
    private val connections = Counter.builder("buckthornwheel.target.connections").register(registry)
    private val sends = Counter.builder("buckthornwheel.target.sends").register(registry)
    private val refusals = Counter.builder("buckthornwheel.target.refusals").register(registry)
    private val repeats = Counter.builder("buckthornwheel.target.repeats").register(registry)
    private val forwards = Counter.builder("buckthornwheel.peer.forwards").register(registry)

    /** A connection to a target was opened. */
    internal fun connectionOpened(): Unit = connections.increment()

    /** A request was sent to a replica. */
    internal fun sent(isRepeat: Boolean) {
        sends.increment()
        if (isRepeat) repeats.increment()
    }

    /** A replica refused a request. */
    internal fun refused(): Unit = refusals.increment()

    /** A request was passed on to another region. */
    internal fun forwarded(): Unit = forwards.increment()

    /** A caller got an answer with [status] after [took]; status 0 stands for a broken one. */
    internal fun answered(status: Int, took: Duration) {
        val timer = synchronized(answers) {
            answers.getOrPut(status) {
                Timer.builder("buckthornwheel.answers").tag("status", status.toString())
                    .publishPercentileHistogram().register(registry)
            }
        }
        timer.record(took.toJavaDuration())
    }

    /** The text that a metrics collector reads. */
    public fun text(): String = registry.scrape()
}
