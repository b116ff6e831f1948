package org.buckthornwheel.measurement.report

/** One row of a table; [cells] are in the order of the columns. */
public data class TableRow(public val cells: List<String>)

/** A table with a heading that is rendered as Markdown. */
public data class MarkdownTable(
    public val title: String,
    public val columns: List<String>,
    public val rows: List<TableRow>,
) {
    init {
        rows.forEach { row ->
            require(row.cells.size == columns.size) {
                "a row of '$title' has ${row.cells.size} cells, not ${columns.size}"
            }
        }
    }

    /** Renders the table as Markdown, one line per row. */
    public fun render(): String = buildString {
        appendLine("## $title")
        appendLine()
        appendLine(line(columns))
        appendLine(line(columns.map { "---" }))
        rows.forEach { appendLine(line(it.cells)) }
    }

    private fun line(cells: List<String>): String = cells.joinToString(" | ", "| ", " |") { it.replace("|", "\\|") }
}

/** Creates a row of [cells]. */
public fun rowOf(vararg cells: String): TableRow = TableRow(cells.toList())
