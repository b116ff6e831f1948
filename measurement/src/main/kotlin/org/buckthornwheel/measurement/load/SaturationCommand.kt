package org.buckthornwheel.measurement.load

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.rowOf
import kotlin.time.Duration.Companion.seconds

/** Measures goodput when the request rate exceeds the daemon's capacity. */
internal class SaturationCommand : CliktCommand(name = "saturation") {
    override fun run(): Unit = runBlocking {
        val page = MeasuredPage(
            name = "saturation",
            command = "./bench saturation",
            notes = listOf(
                "Real processes: one daemon that its Java machine lets use $PROCESSORS processors, one engine " +
                    "stand-in, whole answers of 1 token; $MEASURED a rate, after a warm-up of 1s at that rate. " +
                    "An answer counts if it came within $TIMEOUT of its intended start.",
            ),
        )
        LoadEstate(SingleHost.layout(), SingleHost.SLOTS, JVM_FLAGS).use { estate ->
            estate.start()
            LoadDriver().use { driver -> page.write(listOf(table(estate, driver))) }
        }
    }

    private suspend fun table(estate: LoadEstate, driver: LoadDriver): MarkdownTable {
        SingleHost.warmUp(estate, driver, WARM_UP)
        return MarkdownTable(
            title = "Goodput past saturation",
            columns = listOf(
                "offered a second",
                "in time a second",
                "refused a second",
                "failed a second",
                "late a second",
                "p50 ms",
                "p99 ms",
            ),
            rows = RATES.map { rate -> row(rate, run(estate, driver, rate)) },
        )
    }

    private suspend fun run(estate: LoadEstate, driver: LoadDriver, rate: Double): LoadResult {
        val shape = RequestShape(tokens = 1, streamed = false)
        val plan = SingleHost.plan(estate, shape, rate, MEASURED, seed = 1).copy(timeout = TIMEOUT)
        return driver.run(plan).also { delay(PAUSE) }
    }

    private fun row(rate: Double, result: LoadResult): TableRow {
        val perSecond = { outcome: CallOutcome ->
            (result.count(outcome) / MEASURED.inWholeSeconds.toDouble()).format(0)
        }
        return rowOf(
            rate.format(0),
            result.goodput.format(0),
            perSecond(CallOutcome.REFUSED),
            perSecond(CallOutcome.FAILED),
            perSecond(CallOutcome.LATE),
            result.latency.milliseconds(percentile = 50.0).format(1),
            result.latency.milliseconds(percentile = 99.0).format(1),
        )
    }

    private companion object {
        const val PROCESSORS = 1
        val JVM_FLAGS = listOf("-XX:ActiveProcessorCount=$PROCESSORS")
        val RATES = listOf(250.0, 500.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0, 6_000.0)
        val WARM_UP = 10.seconds
        val MEASURED = 4.seconds
        val TIMEOUT = 2.seconds
        val PAUSE = 2.seconds
    }
}
