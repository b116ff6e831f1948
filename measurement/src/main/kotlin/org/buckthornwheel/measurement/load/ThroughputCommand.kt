package org.buckthornwheel.measurement.load

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.measurement.fit.LinearFit
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.medianWithRange
import org.buckthornwheel.measurement.report.rowOf
import kotlin.time.Duration.Companion.seconds

/** Measures the processor time and allocation that a request and a streamed token cost the daemon. */
internal class ThroughputCommand : CliktCommand(name = "throughput") {
    override fun run(): Unit = runBlocking {
        val page = MeasuredPage(
            name = "throughput",
            command = "./bench throughput",
            notes = listOf(
                "Real processes: one daemon, one engine stand-in, ${SingleHost.TOKEN_INTERVAL_MS} ms between tokens. " +
                    "Processor time as the operating system counts it for the daemon, its idle use taken off; " +
                    "allocation from its log of collections; $RUNS runs of $MEASURED each, " +
                    "median (smallest to largest).",
                "A streamed token's cost is the slope of the line through the costs of requests of several lengths.",
            ),
        )
        LoadEstate(SingleHost.layout(), SingleHost.SLOTS).use { estate ->
            estate.start()
            LoadDriver().use { driver -> page.write(measure(estate, driver)) }
        }
    }

    private suspend fun measure(estate: LoadEstate, driver: LoadDriver): List<MarkdownTable> {
        val cost = ProcessorCost(estate.meter(estate.host), driver)
        SingleHost.warmUp(estate, driver, WARM_UP)
        val idle = cost.idleShare()
        val whole = runs(estate, cost, idle, Case(RequestShape(tokens = 1, streamed = false), WHOLE_RATE))
        val streamed = STREAMED.flatMap { runs(estate, cost, idle, it) }
        return listOf(requestTable(whole, streamed), tokenTable(streamed), designTable(streamed))
    }

    private suspend fun runs(estate: LoadEstate, cost: ProcessorCost, idle: Double, case: Case): List<RequestCost> =
        (1..RUNS).mapNotNull { seed ->
            cost.costPerRequest(SingleHost.plan(estate, case.shape, case.rate, MEASURED, seed), idle)
        }

    private fun requestTable(whole: List<RequestCost>, streamed: List<RequestCost>): MarkdownTable = MarkdownTable(
        title = "Processor time and allocation of one request",
        columns = listOf("answer", "microseconds", "requests a second and core", "bytes allocated"),
        rows = listOf(row("whole, 1 token", whole)) +
            streamed.groupBy { it.tokens }.map { (tokens, costs) -> row("streamed, $tokens tokens", costs) },
    )

    private fun row(answer: String, costs: List<RequestCost>): TableRow = rowOf(
        answer,
        costs.map { it.microseconds }.medianWithRange(0),
        costs.map { MICROSECONDS_PER_SECOND / it.microseconds }.medianWithRange(0),
        costs.map { it.bytes }.medianWithRange(0),
    )

    private fun tokenTable(costs: List<RequestCost>): MarkdownTable {
        val time = LinearFit.of(costs.map { it.timePoint() })
        val allocation = LinearFit.of(costs.map { it.allocationPoint() })
        return MarkdownTable(
            title = "One streamed token",
            columns = listOf("figure", "a token", "± standard error", "R²", "a request without tokens"),
            rows = listOf(fitRow("processor time, microseconds", time), fitRow("bytes allocated", allocation)),
        )
    }

    private fun designTable(costs: List<RequestCost>): MarkdownTable {
        val time = LinearFit.of(costs.map { it.timePoint() })
        val tokens = time.slope * DESIGN_TOKENS_PER_SECOND / MICROSECONDS_PER_SECOND
        val requests = time.intercept * DESIGN_REQUESTS_PER_SECOND / MICROSECONDS_PER_SECOND
        return MarkdownTable(
            title = "At the design size",
            columns = listOf("work", "cores, all hosts together", "cores of each of 400 hosts"),
            rows = listOf(
                rowOf("1.8 million streamed tokens a second", tokens.format(0), (tokens / DESIGN_HOSTS).format()),
                rowOf(
                    "3,900 requests a second, without tokens",
                    requests.format(0),
                    (requests / DESIGN_HOSTS).format(),
                ),
            ),
        )
    }

    private fun fitRow(figure: String, fit: LinearFit): TableRow =
        rowOf(figure, fit.slope.format(), fit.slopeError.format(), fit.rSquared.format(), fit.intercept.format(0))

    private data class Case(val shape: RequestShape, val rate: Double)

    private companion object {
        const val RUNS = 3
        const val DESIGN_TOKENS_PER_SECOND = 1.8e6
        const val DESIGN_REQUESTS_PER_SECOND = 3_900.0
        const val DESIGN_HOSTS = 400
        const val WHOLE_RATE = 300.0
        const val MICROSECONDS_PER_SECOND = 1e6
        val WARM_UP = 30.seconds
        val MEASURED = 6.seconds
        val STREAMED = listOf(
            Case(RequestShape(tokens = 8, streamed = true), rate = 150.0),
            Case(RequestShape(tokens = 64, streamed = true), rate = 60.0),
            Case(RequestShape(tokens = 128, streamed = true), rate = 30.0),
            Case(RequestShape(tokens = 256, streamed = true), rate = 15.0),
        )
    }
}
