package org.buckthornwheel.forwarding.observability

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.attempt.HedgeVerdict
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/**
 * Counters and latency histograms of request forwarding; [droppedLines] returns the number of lines dropped by the log,
 * and [limitMeters] adds what the limits of memory and connections report.
 *
 * They are created at first use, since creating the registry takes a sixth of a host's start and a standby host rarely
 * counts anything.
 */
public class ForwardingMeters internal constructor(
    private val droppedLines: () -> Long,
    private val limitMeters: (MeterRegistry) -> Unit,
) {
    private val meters by lazy { Meters(droppedLines).also { limitMeters(it.registry) } }

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

    /** Counts a placement that a replica's limit turned away. */
    internal fun turnedAwayByLimit(): Unit = meters.limited.increment()

    /** Counts a response of a replica that broke off or was unusable. */
    internal fun broken(): Unit = meters.broken.increment()

    /** Counts a request that was rejected because of a quarantined prompt part. */
    internal fun quarantined(): Unit = meters.quarantined.increment()

    /** Counts a request that was rejected because of its client account. */
    internal fun accountRejected(reason: AccountRejection): Unit = meters.accountRejections.getValue(reason).increment()

    /** Counts a late attempt by whether it may be hedged. */
    internal fun hedgeDecided(verdict: HedgeVerdict): Unit = meters.hedge(verdict.name.lowercase()).increment()

    /** Counts a hedged attempt by whether its response reached the caller. */
    internal fun hedgeEnded(hasWon: Boolean): Unit = meters.hedge(if (hasWon) "won" else "lost").increment()

    /** Counts a request forwarded to another region. */
    internal fun forwarded(): Unit = meters.forwards.increment()

    /** Records a response to a caller with [status] after [took]; status 0 stands for one that broke off. */
    internal fun recordResponse(status: Int, took: Duration): Unit =
        meters.responseTimer(status).record(took.toJavaDuration())

    /** Measures the number of waiting requests of [service], which [size] returns. */
    internal fun recordQueue(service: ServiceName, size: () -> Int): Unit = meters.waitingGauge(service, size)

    /** Records that a request of [rank] has waited for [waited]. */
    internal fun recordWait(rank: Int, outcome: WaitOutcome, waited: Duration): Unit =
        meters.waitTimer(rank, outcome).record(waited.toJavaDuration())

    /** Records by how much a request has waited longer than predicted, or shorter if [excess] is negative. */
    internal fun recordPredictionError(excess: Duration): Unit =
        meters.predictionTimer(isLonger = excess.isPositive()).record(excess.absoluteValue.toJavaDuration())

    /** The metrics in the Prometheus text format. */
    public fun text(): String = meters.registry.scrape()
}

/** How a wait ended. */
internal enum class WaitOutcome(val text: String) { STARTED("started"), REJECTED("rejected"), LEFT("left") }

private class Meters(droppedLines: () -> Long) {
    val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    val connections = counter("buckthornwheel.target.connections")
    val sends = counter("buckthornwheel.target.sends")
    val refusals = counter("buckthornwheel.target.refusals")
    val pauses = counter("buckthornwheel.target.pauses")
    val limited = counter("buckthornwheel.target.limited")
    val broken = counter("buckthornwheel.target.broken")
    val quarantined = counter("buckthornwheel.quarantine.rejections")
    val repeats = counter("buckthornwheel.target.repeats")
    val forwards = counter("buckthornwheel.peer.forwards")
    val accountRejections: Map<AccountRejection, Counter> = AccountRejection.entries.associateWith {
        Counter.builder("buckthornwheel.account.rejections").tag("reason", it.label).register(registry)
    }
    private val responseTimers = HashMap<Int, Timer>()
    private val waitTimers = HashMap<Pair<Int, WaitOutcome>, Timer>()
    private val predictionTimers = HashMap<Boolean, Timer>()

    init {
        FunctionCounter.builder("buckthornwheel.log.dropped", droppedLines) { it().toDouble() }.register(registry)
    }

    /** Late attempts by what became of them; `permitted` ones end as `won` or `lost`. */
    fun hedge(outcome: String): Counter =
        Counter.builder("buckthornwheel.hedges").tag("outcome", outcome).register(registry)

    fun responseTimer(status: Int): Timer = synchronized(responseTimers) {
        responseTimers.getOrPut(status) {
            Timer.builder("buckthornwheel.answers").tag("status", status.toString())
                .publishPercentileHistogram().register(registry)
        }
    }

    fun waitingGauge(service: ServiceName, size: () -> Int) {
        Gauge.builder("buckthornwheel.waiting.requests", size).tag("service", service.value).register(registry)
    }

    fun waitTimer(rank: Int, outcome: WaitOutcome): Timer = synchronized(waitTimers) {
        val limited = rank.coerceIn(0, LOWEST_RANK)
        waitTimers.getOrPut(limited to outcome) {
            Timer.builder("buckthornwheel.waiting.time").tag("rank", limited.toString()).tag("outcome", outcome.text)
                .publishPercentileHistogram().register(registry)
        }
    }

    fun predictionTimer(isLonger: Boolean): Timer = synchronized(predictionTimers) {
        predictionTimers.getOrPut(isLonger) {
            Timer.builder("buckthornwheel.waiting.prediction.error").tag("wait", if (isLonger) "longer" else "shorter")
                .publishPercentileHistogram().register(registry)
        }
    }

    private fun counter(name: String): Counter = Counter.builder(name).register(registry)

    private companion object {
        /** Bounds the number of timers, whatever a manifest says. */
        const val LOWEST_RANK = 9
    }
}
