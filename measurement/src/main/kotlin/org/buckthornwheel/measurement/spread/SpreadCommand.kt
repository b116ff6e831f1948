package org.buckthornwheel.measurement.spread

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.rowOf
import org.buckthornwheel.settings.LimitSettings
import org.buckthornwheel.settings.TimeoutSettings
import org.buckthornwheel.testing.Fault
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.ZoneLinks
import org.buckthornwheel.testing.estateLayout

/** Measures the time until all hosts have applied an accepted release note, with realistic delays between zones. */
internal class SpreadCommand : CliktCommand(name = "spread") {
    override fun run(): Unit = runBlocking(Dispatchers.Default) {
        val page = MeasuredPage(
            name = "spread",
            command = "./bench spread",
            notes = listOf(
                "Real processes: 9 hosts in 3 regions of one zone, $DELAY_MILLISECONDS ms one way between zones and " +
                    "from two of them to the platform; default settings of hosts. $NOTES notes a row, sent to one " +
                    "host after another; milliseconds from the verdict until the last host applies the note.",
            ),
        )
        LocalEstate.of(layout()).use { estate ->
            estate.changeSettings = { _, settings -> settings.copy(limits = LimitSettings()) }
            ZoneLinks(estate).use { links -> page.write(listOf(measure(estate, links))) }
        }
    }

    private suspend fun measure(estate: LocalEstate, links: ZoneLinks): MarkdownTable {
        delayLinks(estate, links)
        NoteSpread(estate).use { spread ->
            spread.start()
            val all = spread.measure(NOTES, receivers = estate.hosts)
            links.cutPlatform(LAST_ZONE)
            val cutOff = spread.measure(NOTES, receivers = estate.hosts.filter { it.zone.name != LAST_ZONE })
            return tableOf(listOf(row("every zone reaches the platform", all), row("one zone does not", cutOff)))
        }
    }

    private fun tableOf(rows: List<TableRow>): MarkdownTable =
        MarkdownTable("Until a note is in force on all hosts", listOf("situation", "median", "largest"), rows)

    private fun delayLinks(estate: LocalEstate, links: ZoneLinks) {
        val remoteDelay = Fault(delayMilliseconds = DELAY_MILLISECONDS)
        estate.hosts.forEach { source ->
            if (source.zone.name != FIRST_ZONE) links.platformLink(source).fault = remoteDelay
            estate.hosts.filter { it.zone != source.zone }.forEach { links.link(source, it).fault = remoteDelay }
        }
    }

    private fun row(situation: String, times: Histogram): TableRow =
        rowOf(situation, times.getValueAtPercentile(MEDIAN).toString(), times.maxValue.toString())

    private fun layout() = estateLayout {
        zone(FIRST_ZONE, "salish-south", hosts = 3, engines = 0, services = 0)
        zone("strait-north-a", "strait-north", hosts = 3, engines = 0, services = 0)
        zone(LAST_ZONE, "outer-coast", hosts = 3, engines = 0, services = 0)
        timeouts = TimeoutSettings()
    }

    private companion object {
        const val FIRST_ZONE = "salish-south-a"
        const val LAST_ZONE = "outer-coast-a"
        const val DELAY_MILLISECONDS = 55L
        const val NOTES = 15
        const val MEDIAN = 50.0
    }
}
