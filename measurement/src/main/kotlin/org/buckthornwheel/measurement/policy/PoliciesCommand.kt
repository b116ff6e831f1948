package org.buckthornwheel.measurement.policy

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.enum
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.medianWithRange
import org.buckthornwheel.measurement.report.rowOf
import org.buckthornwheel.settings.RoutingPolicy

/** Compares the routing policies in the estate of a user. */
internal class PoliciesCommand : CliktCommand(name = "policies") {
    private val shape by argument(help = "User whose estate is modelled.").enum<EstateShape> { it.name.lowercase() }

    override fun run(): Unit = runBlocking {
        val name = "policies-${shape.name.lowercase()}"
        val page = MeasuredPage(
            name = name,
            command = "./bench policies ${shape.name.lowercase()}",
            notes = listOf(
                "Real processes: three regions with one zone and one host each, ${shape.regions.joinToString {
                    it.engines.toString()
                }} " +
                    "engine stand-ins of ${EstateShape.SLOTS} places, ${PolicyRun.REGION_DELAY.delayMilliseconds} " +
                    "ms one way between regions. Streams of ${EstateShape.TOKENS} tokens, open loop; " +
                    "the region with the peak is offered ${PolicyRun.PEAK_LOAD} times what its engines can take, " +
                    "the others ${PolicyRun.QUIET_LOAD} times. One run of ${PolicyRun.MEASURED} with the peak " +
                    "in each region; median of the runs (smallest to largest).",
            ),
        )
        page.write(listOf(table()))
    }

    private suspend fun table(): MarkdownTable = MarkdownTable(
        title = "Routing policies, ${shape.name.lowercase()}",
        columns = listOf(
            "policy",
            "first token p50, ms",
            "first token p99, ms",
            "sent elsewhere, %",
            "refused, %",
            "failed or late, %",
        ),
        rows = RoutingPolicy.entries.map { policy -> row(policy, PolicyRun(shape, policy).figures()) },
    )

    private fun row(policy: RoutingPolicy, runs: List<PolicyFigures>): TableRow = rowOf(
        policy.name.lowercase().replace('_', '-'),
        runs.map { it.firstTokenMedian }.medianWithRange(0),
        runs.map { it.firstTokenTail }.medianWithRange(0),
        runs.map { it.shareForwarded * PERCENT }.medianWithRange(1),
        runs.map { it.shareRefused * PERCENT }.medianWithRange(1),
        runs.map { it.shareFailed * PERCENT }.medianWithRange(1),
    )

    private companion object {
        const val PERCENT = 100.0
    }
}
