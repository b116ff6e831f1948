package org.buckthornwheel.measurement.report

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure

class MarkdownTableTest {
    @Test
    fun `a table is rendered with a heading, a header row, a separator and rows`() {
        val table = MarkdownTable("Costs", listOf("name", "figure"), listOf(rowOf("a|b", "1")))
        expectThat(table.render()).isEqualTo(
            """
            ## Costs

            | name | figure |
            | --- | --- |
            | a\|b | 1 |

            """.trimIndent(),
        )
    }

    @Test
    fun `a row with the wrong number of cells is rejected`() {
        expectCatching { MarkdownTable("Costs", listOf("name", "figure"), listOf(rowOf("a"))) }.isFailure()
    }

    @Test
    fun `figures are formatted with their decimals and missing figures as not measured`() {
        expectThat(1234.567.format()).isEqualTo("1,234.57")
        expectThat(null.format()).isEqualTo("not measured")
        expectThat(listOf(3.0, 1.0, 2.0, 4.0).medianWithRange(1)).isEqualTo("2.5 (1.0 to 4.0)")
    }
}
