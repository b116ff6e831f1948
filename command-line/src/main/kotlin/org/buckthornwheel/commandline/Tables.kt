/*
 * Plain-text tables, laid out the same way on a terminal, in a file and in a pipe.
 */

package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.rendering.Whitespace
import com.github.ajalt.mordant.table.Borders
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal

/** Maximum line width; far wider than a terminal window, so that names are never truncated. */
private const val MAXIMUM_LINE_COLUMNS = 4_096

/** Prints [rows] under [headings], without borders so that other tools can split the columns. */
internal fun CliktCommand.showTable(headings: List<String>, rows: List<List<Any?>>) {
    val terminal = Terminal(ansiLevel = AnsiLevel.NONE, width = MAXIMUM_LINE_COLUMNS, interactive = false)
    val lines = terminal.render(
        table {
            cellBorders = Borders.NONE
            whitespace = Whitespace.PRE
            header { rowFrom(headings) }
            body { rows.forEach { rowFrom(it) } }
        },
    )
    lines.lines().map { it.trim() }.filter { it.isNotEmpty() }.forEach { echo(it) }
}
