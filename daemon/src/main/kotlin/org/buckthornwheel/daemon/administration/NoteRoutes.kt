package org.buckthornwheel.daemon.administration

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.RoutingContext
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.configuration.NoteSubmitter
import org.buckthornwheel.daemon.configuration.Submission
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditedAction
import org.buckthornwheel.protocol.administration.NoteVerdict

/** The routes for release notes: list, show, check and submit. */
internal class NoteRoutes(
    private val estate: EstateHolder,
    private val submitter: NoteSubmitter,
    private val recorder: AuditRecorder,
) {
    fun accepted(): List<AcceptedNote> = estate.notesAfter(Revision.NONE, Int.MAX_VALUE)

    suspend fun list(context: RoutingContext): Unit = context.call.json(accepted())

    suspend fun show(context: RoutingContext) {
        val id = context.call.parameters["id"].orEmpty()
        val note = accepted().firstOrNull { it.note.id.value == id || it.revision.toString() == id }
        if (note != null) return context.call.json(note)
        context.call.problem(HttpStatusCode.NotFound, "not-found", "no accepted note has this id or revision")
    }

    suspend fun check(context: RoutingContext) {
        val note = read(context) ?: return
        val findings = estate.current().check(note).map { it.toString() }
        context.call.json(NoteVerdict(accepted = findings.isEmpty(), findings = findings))
    }

    suspend fun submit(context: RoutingContext, bearer: Bearer) {
        val note = read(context) ?: return
        when (val submission = submitter.submit(note)) {
            is Submission.Accepted ->
                context.call.json(NoteVerdict(accepted = true, revision = submission.revision))

            is Submission.Rejected -> {
                val detail = submission.findings.joinToString("; ")
                recorder.record(bearer, AuditedAction.SUBMIT_NOTE, note.id.value, AuditResult.REJECTED, detail)
                context.call.json(NoteVerdict(false, findings = submission.findings), HttpStatusCode.Conflict)
            }

            is Submission.Unavailable -> {
                val result = if (submission.mayHaveTakenEffect) AuditResult.UNKNOWN else AuditResult.REJECTED
                val detail = submission.failure.detail
                recorder.record(bearer, AuditedAction.SUBMIT_NOTE, note.id.value, result, detail)
                context.call.json(unavailable(submission), HttpStatusCode.ServiceUnavailable)
            }
        }
    }

    private fun unavailable(submission: Submission.Unavailable): NoteVerdict {
        val cause = "the key-value service at ${submission.failure.peer} did not respond: ${submission.failure.detail}"
        val advice = when {
            submission.mayHaveTakenEffect -> "the note may have been accepted; submit the same note again"
            else -> "the note was not accepted"
        }
        return NoteVerdict(accepted = false, findings = listOf(cause, advice))
    }

    private suspend fun read(context: RoutingContext): ReleaseNote? {
        val text = context.call.boundedText() ?: return null
        return when (val reading = readNote(text)) {
            is NoteReading.Note -> reading.note
            is NoteReading.Malformed -> {
                val verdict = NoteVerdict(accepted = false, findings = listOf(reading.finding))
                context.call.json(verdict, HttpStatusCode.BadRequest)
                null
            }
        }
    }
}

/** The result of reading a release note. */
internal sealed interface NoteReading {
    /** A well-formed note. */
    data class Note(val note: ReleaseNote) : NoteReading

    /** Not a release note; [finding] says why. */
    data class Malformed(val finding: String) : NoteReading
}

/**
 * Reads a release note from [text].
 *
 * The constructor of a type, not the decoder, rejects a value out of range. The decoder of items recurses once for each
 * level of nesting, so deep nesting can exhaust the stack.
 */
internal fun readNote(text: String): NoteReading = try {
    NoteReading.Note(Json.decodeFromString<ReleaseNote>(text))
} catch (failure: IllegalArgumentException) {
    NoteReading.Malformed(failure.message.orEmpty().lineSequence().first())
} catch (_: StackOverflowError) {
    NoteReading.Malformed("the note is nested too deeply")
}
