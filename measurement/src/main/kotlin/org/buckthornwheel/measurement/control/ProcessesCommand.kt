package org.buckthornwheel.measurement.control

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.measurement.load.ProcessMeter
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.medianWithRange
import org.buckthornwheel.measurement.report.rowOf
import org.buckthornwheel.settings.TimeoutSettings
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import kotlin.time.Duration.Companion.seconds

/** Measures the resource usage of idle daemons as hosts are added to one estate. */
internal class ProcessesCommand : CliktCommand(name = "processes") {
    private data class HostUsage(
        val processorShare: Double,
        val residentBytes: Double,
        val heapBytes: Double?,
        val bytesPerSecond: Double?,
    )

    override fun run(): Unit = runBlocking {
        val page = MeasuredPage(
            name = "processes",
            command = "./bench processes",
            notes = listOf(
                "Real daemons with the small flags of the tests (96 MB heap), without requests, in $ZONES zones of " +
                    "2 regions, signs of life every second; each figure over $WINDOW after $SETTLE of quiet, " +
                    "median of the hosts (smallest to largest). Control bytes are those that each daemon counts, " +
                    "headers included.",
            ),
        )
        LocalEstate.of(layout()).use { estate -> page.write(listOf(table(estate))) }
    }

    private fun layout() = estateLayout {
        timeouts = TimeoutSettings()
        repeat(ZONES) { zone("zone-$it", "region-${it % 2}", hosts = HOSTS / ZONES, engines = 0, services = 0) }
    }

    private suspend fun table(estate: LocalEstate): MarkdownTable = Operator().use { operator ->
        estate.startStandIns()
        val order = (0 until HOSTS / ZONES).flatMap { at ->
            estate.hosts.filterIndexed { i, _ -> i % STEP_HOSTS == at }
        }
        MarkdownTable(
            title = "Idle daemons",
            columns = listOf(
                "hosts",
                "processor, % of a core",
                "resident memory, MB",
                "heap in use, MB",
                "control bytes sent a second",
            ),
            rows = order.chunked(STEP_HOSTS).runningFold(emptyList<LocalHost>()) { known, more -> known + more }
                .drop(1)
                .map { running -> row(addHosts(estate, operator, running)) },
        )
    }

    private suspend fun addHosts(estate: LocalEstate, operator: Operator, running: List<LocalHost>): List<HostUsage> {
        running.takeLast(STEP_HOSTS).forEach(estate::startHost)
        running.forEach { awaitUntil("${it.name} answers") { operator.hosts(it).isNotEmpty() } }
        val note: ReleaseNote = estate.firstNote()
        awaitUntil("the note is accepted") { operator.submit(running.first(), note).accepted }
        running.forEach { awaitUntil("${it.name} is ready") { operator.isReady(it) } }
        delay(SETTLE)
        val before = running.map { sample(estate, operator, it) }
        delay(WINDOW)
        return running.map { sample(estate, operator, it) }.zip(before, ::usageBetween)
    }

    private suspend fun sample(estate: LocalEstate, operator: Operator, host: LocalHost): HostSample {
        val identifier = estate.process(host.name).identifier
        return HostSample.of(host, ProcessMeter(identifier, estate.directory.resolve("none")), operator)
    }

    private fun usageBetween(after: HostSample, before: HostSample): HostUsage = HostUsage(
        processorShare = after.processorShareSince(before),
        residentBytes = after.residentBytes.toDouble(),
        heapBytes = after.heapBytes,
        bytesPerSecond = after.controlBytesPerSecondSince(before),
    )

    private fun row(uses: List<HostUsage>): TableRow = rowOf(
        uses.size.toString(),
        uses.map { it.processorShare * PERCENT }.medianWithRange(),
        uses.map { it.residentBytes / MEGABYTE }.medianWithRange(0),
        uses.mapNotNull { it.heapBytes }.map { it / MEGABYTE }.medianWithRange(0),
        uses.mapNotNull { it.bytesPerSecond }.medianWithRange(0),
    )

    private companion object {
        const val ZONES = 4
        const val HOSTS = 16
        const val STEP_HOSTS = 4
        const val PERCENT = 100.0
        const val MEGABYTE = 1e6
        val SETTLE = 6.seconds
        val WINDOW = 8.seconds
    }
}
