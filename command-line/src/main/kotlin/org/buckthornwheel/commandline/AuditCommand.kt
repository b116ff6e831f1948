package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.buckthornwheel.protocol.administration.AuditView
import java.time.Instant
import java.time.format.DateTimeParseException

/** Shows the audit trail: accepted and rejected notes, drained hosts, and requests that a role did not permit. */
internal class AuditCommand : CliktCommand(name = "audit") {
    private val since by option(
        help = "Oldest entry to show, as 2026-12-04T05:00:00Z; by default one day ago.",
    ).convert { text ->
        try {
            Instant.parse(text)
        } catch (_: DateTimeParseException) {
            fail("'$text' is not a time of the form 2026-12-04T05:00:00Z")
        }
    }
    private val limit by option(
        help = "Maximum number of entries to show.",
    ).int().restrictTo(1..MAXIMUM_ENTRIES).default(DEFAULT_ENTRIES)
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Shows the audit trail, oldest first."

    override fun run() {
        val sinceParameter = since?.let { "&since=${it.toEpochMilli()}" }.orEmpty()
        val path = "/administration/v1/audit?limit=$limit$sinceParameter"
        val audit = AdministrationClient(this, globalOptions).fetchView<AuditView>(path) ?: return
        val rows = audit.entries.map {
            val action = it.action.name.lowercase().replace('_', '-')
            val time = Instant.ofEpochMilli(it.atMilliseconds)
            listOf(time, it.host, it.who, action, it.subject, it.result.name.lowercase(), it.detail)
        }
        showTable(listOf("AT", "HOST", "WHO", "ACTION", "SUBJECT", "RESULT", "DETAIL"), rows)
        audit.missing?.let { echo("Entries may be missing: $it.", err = true) }
    }

    private companion object {
        const val DEFAULT_ENTRIES = 200
        const val MAXIMUM_ENTRIES = 1_000
    }
}
