package org.buckthornwheel.measurement.report

import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText

/**
 * A page of measured results in `docs/measured/`, which the documentation links to.
 *
 * The page shows the machine's load average at the start, because figures from a busy machine count as trials only.
 *
 * @property name file name without the extension.
 * @property command the command that regenerates the page.
 * @property notes sentences that describe how the figures were measured.
 */
public class MeasuredPage(private val name: String, private val command: String, private val notes: List<String>) {
    private val loadAtStart = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

    /** Writes the page with [tables] to its file and to standard output. */
    public fun write(tables: List<MarkdownTable>) {
        val text = render(tables)
        Files.createDirectories(DIRECTORY)
        DIRECTORY.resolve("$name.md").writeText(text)
        println(text)
    }

    private fun render(tables: List<MarkdownTable>): String = buildString {
        appendLine("# Measured: $name")
        appendLine()
        appendLine("Made by `$command`. ${machine()}")
        notes.forEach { appendLine("\n$it") }
        tables.forEach {
            appendLine()
            append(it.render())
        }
    }

    private fun machine(): String {
        val processors = Runtime.getRuntime().availableProcessors()
        val java = System.getProperty("java.version")
        return "Machine: $processors processors, Java $java; load average when the run began: ${loadAtStart.format(1)}."
    }

    private companion object {
        val DIRECTORY: Path = Path.of("docs", "measured")
    }
}
