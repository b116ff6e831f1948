package org.buckthornwheel.measurement.bench

import com.github.ajalt.clikt.core.CliktCommand
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.rowOf
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.profile.GCProfiler
import org.openjdk.jmh.results.RunResult
import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.OptionsBuilder
import org.openjdk.jmh.runner.options.TimeValue
import org.openjdk.jmh.runner.options.VerboseMode
import java.util.concurrent.TimeUnit

/** Runs the microbenchmarks of the decision functions and the codecs. */
internal class DecisionsCommand : CliktCommand(name = "decisions") {
    override fun run() {
        val page = MeasuredPage(
            name = "decisions",
            command = "./bench decisions",
            notes = listOf(
                "JMH: 1 fork, $WARM_UP_ITERATIONS warm-up and $ITERATIONS measured iterations of " +
                    "$ITERATION_MILLISECONDS ms each; the error is that of the 99.9% interval. " +
                    "Bytes allocated are those of JMH's allocation profiler.",
            ),
        )
        page.write(listOf(table(runBenches())))
    }

    private fun runBenches(): Collection<RunResult> {
        val iteration = TimeValue.milliseconds(ITERATION_MILLISECONDS)
        val options = OptionsBuilder()
            .include("org\\.buckthornwheel\\.measurement\\.bench\\..*Bench\\..*")
            .mode(Mode.AverageTime)
            .timeUnit(TimeUnit.MICROSECONDS)
            .forks(1)
            .warmupIterations(WARM_UP_ITERATIONS)
            .warmupTime(iteration)
            .measurementIterations(ITERATIONS)
            .measurementTime(iteration)
            .addProfiler(GCProfiler::class.java)
            .verbosity(VerboseMode.SILENT)
            .build()
        return Runner(options).run()
    }

    private fun table(results: Collection<RunResult>): MarkdownTable = MarkdownTable(
        title = "Decision functions and codecs alone",
        columns = listOf("bench", "sizes", "microseconds", "± error", "bytes allocated"),
        rows = results.map(::row),
    )

    private fun row(result: RunResult): TableRow {
        val sizes = result.params.paramsKeys.joinToString { "$it ${result.params.getParam(it)}" }
        val allocated = result.secondaryResults.entries.firstOrNull { it.key.endsWith(ALLOCATION) }?.value?.score
        return rowOf(
            result.params.benchmark.substringAfter(".bench."),
            sizes.ifEmpty { "design size" },
            result.primaryResult.score.format(decimals = 3),
            result.primaryResult.scoreError.format(decimals = 3),
            allocated.format(0),
        )
    }

    private companion object {
        const val WARM_UP_ITERATIONS = 3
        const val ITERATIONS = 5
        const val ITERATION_MILLISECONDS = 400L
        const val ALLOCATION = "gc.alloc.rate.norm"
    }
}
