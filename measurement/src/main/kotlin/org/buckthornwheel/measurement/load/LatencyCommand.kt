package org.buckthornwheel.measurement.load

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.medianWithRange
import org.buckthornwheel.testing.estateLayout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Measures the latency that the gateway adds to direct calls; both paths are loaded concurrently in each run. */
internal class LatencyCommand : CliktCommand(name = "latency") {
    private data class SideBySide(val direct: Histogram, val gateway: Histogram)

    override fun run(): Unit = runBlocking {
        val page = MeasuredPage(
            name = "latency",
            command = "./bench latency",
            notes = listOf(
                "Real processes: one daemon, one engine stand-in that answers at once. " +
                    "Open loop, Poisson arrivals at ${RATE.toInt()} a second each way, both at the same time, " +
                    "$TOKENS tokens an answer; " +
                    "$RUNS runs of $MEASURED, warm-up $FIRST_WARM_UP. Milliseconds from the intended start, " +
                    "as the median of the runs (smallest to largest).",
            ),
        )
        LoadEstate(layout(), targetCapacity = SLOTS).use { estate ->
            estate.start()
            LoadDriver().use { driver -> page.write(listOf(table(estate, driver))) }
        }
    }

    private fun layout() = estateLayout {
        zone("salish-south-a", "salish-south", hosts = 1, engines = 1, services = 0)
        engineArguments = listOf("--first-token", "0", "--token-interval", "0", "--slots", "$SLOTS")
    }

    private suspend fun table(estate: LoadEstate, driver: LoadDriver): MarkdownTable {
        listOf(false, true).forEach { sideBySide(estate, driver, it, FIRST_WARM_UP, seed = 0) }
        val whole = (1..RUNS).map { run -> sideBySide(estate, driver, false, MEASURED, run) }
        val streamed = (1..RUNS).map { run -> sideBySide(estate, driver, true, MEASURED, run) }
        return MarkdownTable(
            title = "Added latency of the gateway against a direct call",
            columns = listOf("answer", "percentile", "direct", "through the gateway", "added"),
            rows = rows("whole", whole.map { SideBySide(it[0].latency, it[1].latency) }) +
                rows("streamed, first token", streamed.map { SideBySide(it[0].firstToken, it[1].firstToken) }) +
                rows("streamed, whole", streamed.map { SideBySide(it[0].latency, it[1].latency) }),
        )
    }

    private suspend fun sideBySide(
        estate: LoadEstate,
        driver: LoadDriver,
        streamed: Boolean,
        measured: Duration,
        seed: Int,
    ): List<LoadResult> {
        val direct = plan(estate.processes.engines.first().address, estate, streamed, measured, seed)
        return driver.run(listOf(direct, direct.copy(destination = estate.host.callers, seed = seed + RUNS)))
    }

    private fun plan(
        destination: NetworkAddress,
        estate: LoadEstate,
        streamed: Boolean,
        measured: Duration,
        seed: Int,
    ): LoadPlan = LoadPlan(
        destination = destination,
        bearerToken = estate.processes.layout.accounts.first().token,
        shape = RequestShape(TOKENS, streamed),
        requestsPerSecond = RATE,
        warmUp = 1.seconds,
        measured = measured,
        timeout = 10.seconds,
        seed = seed,
    )

    private fun rows(answer: String, runs: List<SideBySide>): List<TableRow> = PERCENTILES.map { percentile ->
        val direct = runs.map { it.direct.milliseconds(percentile) }
        val gateway = runs.map { it.gateway.milliseconds(percentile) }
        val added = gateway.zip(direct) { one, other -> one - other }
        val figures = listOf(direct, gateway, added).map { it.medianWithRange() }
        TableRow(listOf(answer, "p${percentile.toInt()}") + figures)
    }

    private companion object {
        const val RATE = 100.0
        const val TOKENS = 8
        const val SLOTS = 4_096
        const val RUNS = 5
        val FIRST_WARM_UP = 8.seconds
        val MEASURED = 5.seconds
        val PERCENTILES = listOf(50.0, 99.0)
    }
}
