/*
 * Commands that check, submit, show and list release notes.
 */

package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import io.ktor.http.encodeURLPathPart
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.protocol.administration.NoteVerdict
import java.io.IOException
import java.nio.file.Path
import java.time.Instant
import kotlin.io.path.readText

private const val NOTES_PATH = "/administration/v1/notes"
private const val SERVICE_UNAVAILABLE = 503
private const val PAYLOAD_TOO_LARGE = 413

@OptIn(ExperimentalSerializationApi::class)
private val noteFormat = Json {
    allowComments = true
    allowTrailingComma = true
}

internal class ReleaseNoteCommand : CliktCommand(name = "release-note") {
    override fun help(context: Context): String = "Checks, submits and shows release notes."

    override fun run(): Unit = Unit
}

internal class ReleaseNoteCheckCommand : CliktCommand(name = "check") {
    private val file by argument(
        help = "File with the note, as JSON; comments are allowed.",
    ).path(mustExist = true, canBeDir = false)
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Checks whether a note would be accepted now, without submitting it."

    override fun run(): Unit = sendNote(this, globalOptions, file, "$NOTES_PATH/check")
}

internal class ReleaseNoteSubmitCommand : CliktCommand(name = "submit") {
    private val file by argument(
        help = "File with the note, as JSON; comments are allowed.",
    ).path(mustExist = true, canBeDir = false)
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Submits a note; submitting the same note again is safe."

    override fun run(): Unit = sendNote(this, globalOptions, file, NOTES_PATH)
}

internal class ReleaseNoteShowCommand : CliktCommand(name = "show") {
    private val id by argument(help = "Id or revision of the note.")
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Shows one accepted note with all its items."

    override fun run() {
        val path = "$NOTES_PATH/${id.encodeURLPathPart()}"
        val accepted = AdministrationClient(this, globalOptions).fetchView<AcceptedNote>(path) ?: return
        val note = accepted.note
        echo("Note ${note.id} of ${note.author}, on base ${note.base}")
        val time = Instant.ofEpochMilli(accepted.acceptedAtMilliseconds)
        echo("Accepted by ${accepted.acceptedBy} at $time as revision ${accepted.revision}")
        note.added.forEach { echo("added      $it") }
        note.changed.forEach { echo("changed    $it") }
        note.withdrawn.forEach { echo("withdrawn  $it") }
    }
}

internal class ReleaseNoteHistoryCommand : CliktCommand(name = "history") {
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Lists the accepted notes, oldest first."

    override fun run() {
        val notes = AdministrationClient(this, globalOptions).fetchView<List<AcceptedNote>>(NOTES_PATH) ?: return
        val rows = notes.map {
            val time = Instant.ofEpochMilli(it.acceptedAtMilliseconds)
            listOf(it.revision, time, it.acceptedBy, it.note.author, it.note.id, it.note.touchedKeys().size)
        }
        showTable(listOf("REVISION", "ACCEPTED-AT", "BY-HOST", "AUTHOR", "NOTE", "ITEMS"), rows)
    }
}

private fun sendNote(command: CliktCommand, globalOptions: GlobalOptions, file: Path, path: String) {
    val note = readNote(command, file)
    val client = AdministrationClient(command, globalOptions)
    val response = client.post(path, Json.encodeToString(note))
    if (response.status == PAYLOAD_TOO_LARGE) client.failRejected(response)
    val verdict = client.decode<NoteVerdict>(response)
    if (globalOptions.json) command.echo(response.body) else printVerdict(command, verdict)
    if (!verdict.accepted) {
        throw ProgramResult(if (response.status == SERVICE_UNAVAILABLE) ExitCode.UNAVAILABLE else ExitCode.REFUSED)
    }
}

// The types of the note's fields throw IllegalArgumentException for values out of range.
private fun readNote(command: CliktCommand, file: Path): ReleaseNote = try {
    noteFormat.decodeFromString<ReleaseNote>(file.readText())
} catch (failure: IOException) {
    failUnreadable(command, file, failure)
} catch (failure: IllegalArgumentException) {
    failUnreadable(command, file, failure)
}

private fun failUnreadable(command: CliktCommand, file: Path, failure: Exception): Nothing {
    val reason = failure.message.orEmpty().lineSequence().first()
    command.echo("$file is not a release note: $reason See docs/API.md for its fields.", err = true)
    throw ProgramResult(ExitCode.REFUSED)
}

private fun printVerdict(command: CliktCommand, verdict: NoteVerdict) {
    if (verdict.accepted) {
        return command.echo(verdict.revision?.let { "Accepted as revision $it." } ?: "The note may be submitted.")
    }
    verdict.findings.forEach { command.echo(it, err = true) }
}
