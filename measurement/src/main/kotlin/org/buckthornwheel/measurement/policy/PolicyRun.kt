package org.buckthornwheel.measurement.policy

import org.HdrHistogram.Histogram
import org.buckthornwheel.measurement.load.CallOutcome
import org.buckthornwheel.measurement.load.LoadDriver
import org.buckthornwheel.measurement.load.LoadEstate
import org.buckthornwheel.measurement.load.LoadPlan
import org.buckthornwheel.measurement.load.LoadResult
import org.buckthornwheel.measurement.load.RequestShape
import org.buckthornwheel.measurement.load.milliseconds
import org.buckthornwheel.settings.RoutingPolicy
import org.buckthornwheel.settings.RoutingSettings
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.ZoneLinks
import kotlin.time.Duration.Companion.seconds

/** Results of one run over the callers of all regions, with the daily peak in one region; times in milliseconds. */
internal data class PolicyFigures(
    val firstTokenMedian: Double,
    val firstTokenTail: Double,
    val shareForwarded: Double,
    val shareRefused: Double,
    val shareFailed: Double,
)

/** Runs an estate under one routing policy, once for each region with the peak load there. */
internal class PolicyRun(private val shape: EstateShape, private val policy: RoutingPolicy) {
    suspend fun figures(): List<PolicyFigures> =
        LoadEstate(shape.layout(), EstateShape.SLOTS, additionalItems = listOf(shape.policy)).use { estate ->
            estate.processes.changeSettings = { _, settings -> settings.copy(routing = RoutingSettings(policy)) }
            ZoneLinks(estate.processes).use { links ->
                estate.start()
                delayLinks(estate.processes.hosts, links)
                LoadDriver().use { driver -> shape.regions.indices.map { peak -> run(estate, driver, peak) } }
            }
        }

    private fun delayLinks(hosts: List<LocalHost>, links: ZoneLinks) {
        for (source in hosts) {
            hosts.filter { it != source }.forEach { links.link(source, it).fault = REGION_DELAY }
        }
    }

    private suspend fun run(estate: LoadEstate, driver: LoadDriver, peak: Int): PolicyFigures {
        val results = driver.run(estate.processes.hosts.mapIndexed { at, host -> plan(estate, host, at, peak) })
        val firstTokens = Histogram(DIGITS).apply { results.forEach { add(it.firstToken) } }
        return PolicyFigures(
            firstTokenMedian = firstTokens.milliseconds(percentile = 50.0),
            firstTokenTail = firstTokens.milliseconds(percentile = 99.0),
            shareForwarded = results.sumOf { it.shareForwarded * it.count(CallOutcome.COMPLETED) } /
                results.sumOf { it.count(CallOutcome.COMPLETED) },
            shareRefused = results.share(CallOutcome.REFUSED),
            shareFailed = results.share(CallOutcome.FAILED) + results.share(CallOutcome.LATE),
        )
    }

    private fun plan(estate: LoadEstate, host: LocalHost, at: Int, peak: Int): LoadPlan = LoadPlan(
        destination = host.callers,
        bearerToken = estate.processes.layout.accounts.first().token,
        shape = RequestShape(EstateShape.TOKENS, streamed = true),
        requestsPerSecond = shape.capacityOf(at) * if (at == peak) PEAK_LOAD else QUIET_LOAD,
        warmUp = WARM_UP,
        measured = MEASURED,
        timeout = TIMEOUT,
        seed = at + peak * shape.regions.size,
    )

    private fun List<LoadResult>.share(outcome: CallOutcome): Double =
        sumOf { it.count(outcome) }.toDouble() / sumOf { it.requests }

    companion object {
        /** Offered load of the region at its peak, as a fraction of its engines' capacity. */
        const val PEAK_LOAD: Double = 1.2

        /** Offered load of the other regions, as a fraction of their engines' capacity. */
        const val QUIET_LOAD: Double = 0.4

        /** Recorded part of each run, after the warm-up. */
        val MEASURED = 6.seconds

        /** One-way network delay between two regions. */
        val REGION_DELAY: Fault = Fault(delayMilliseconds = 55)
        private const val DIGITS = 3
        private val WARM_UP = 3.seconds
        private val TIMEOUT = 10.seconds
    }
}
