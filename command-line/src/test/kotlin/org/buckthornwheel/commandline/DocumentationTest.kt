package org.buckthornwheel.commandline

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.ReleaseNote
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.io.path.Path
import kotlin.io.path.readText

class DocumentationTest {
    private val page = Path("../docs/API.md").readText()

    @Nested
    inner class `given the API page` {
        @OptIn(ExperimentalSerializationApi::class)
        private val format = Json {
            allowComments = true
            allowTrailingComma = true
        }

        @Test
        fun `its example release note is valid and contains every kind of item except the policy`() {
            val block = page.lines().dropWhile { it != "    {" }.takeWhile { it.isBlank() || it.startsWith("    ") }
            val note = format.decodeFromString<ReleaseNote>(block.joinToString("\n"))
            val missingKinds = ItemKind.entries - note.touchedKeys().map { it.kind }.toSet() - ItemKind.POLICY
            expectThat(missingKinds).isEmpty()
        }

        @Test
        fun `it lists the exit codes of the command line`() {
            val codes = Regex("(?m)^\\| (\\d+) \\| ").findAll(page).map { it.groupValues[1].toInt() }.toList()
            val failureCodes = listOf(
                ExitCode.REFUSED,
                ExitCode.UNAVAILABLE,
                ExitCode.NOT_PERMITTED,
                ExitCode.MALFORMED_RESPONSE,
                ExitCode.INVALID_SETTINGS,
            )
            expectThat(codes.filter { it < LOWEST_HTTP_STATUS }).isEqualTo(listOf(0, 1) + failureCodes)
        }
    }

    private companion object {
        const val LOWEST_HTTP_STATUS = 100
    }
}
