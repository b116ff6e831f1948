package org.buckthornwheel.daemon.configuration

import kotlinx.coroutines.delay
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.WriteResult
import kotlin.time.Duration.Companion.milliseconds

/** Result of the submission of a note. */
internal sealed interface Submission {
    /** The log has the note at [revision]. */
    data class Accepted(val revision: Revision) : Submission

    /** The note conflicts with the estate or is invalid in itself. */
    data class Rejected(val findings: List<String>) : Submission

    /** A call to the platform failed; the note may have been accepted if [mayHaveTakenEffect]. */
    data class Unavailable(val failure: PlatformFailure, val mayHaveTakenEffect: Boolean) : Submission
}

/** Accepts release notes: checks a note against the newest estate, then appends it by one create-if-absent write. */
internal class NoteSubmitter(
    private val host: HostName,
    private val log: NoteLog,
    private val estateHolder: EstateHolder,
    private val wallClock: () -> Long,
) {
    suspend fun submit(note: ReleaseNote): Submission {
        while (true) {
            readNewest(note)?.let { return it }
            val estate = estateHolder.current()
            val findings = estate.check(note)
            if (findings.isNotEmpty()) return Submission.Rejected(findings.map { it.toString() })
            val accepted = AcceptedNote(estate.revision.next(), note, host, wallClock())
            tryAppend(accepted)?.let { return it }
        }
    }

    /** Applies the log up to its end; returns a result if the log has the note already or the platform fails. */
    private suspend fun readNewest(note: ReleaseNote): Submission? {
        while (true) {
            val notes = log.readAfter(estateHolder.current().revision).fold(
                ifLeft = { return Submission.Unavailable(it, mayHaveTakenEffect = false) },
                ifRight = { it.notes },
            )
            notes.forEach(estateHolder::offer)
            if (notes.isEmpty()) break
        }
        val existing = estateHolder.notesAfter(Revision.NONE, Int.MAX_VALUE).firstOrNull { it.note.id == note.id }
        return existing?.let { Submission.Accepted(it.revision) }
    }

    /** Tries one write; returns null if another note was first, so that the note has to be checked again. */
    private suspend fun tryAppend(accepted: AcceptedNote): Submission? = log.append(accepted).fold(
        ifLeft = { readBack(accepted, it) },
        ifRight = { result ->
            when (result) {
                is WriteResult.Written -> accept(accepted)
                is WriteResult.Refused -> null
            }
        },
    )

    /** Reads whether a write whose response was lost has taken effect; retries the read if it fails. */
    private suspend fun readBack(accepted: AcceptedNote, failure: PlatformFailure): Submission? {
        if (!failure.mayHaveTakenEffect) return Submission.Unavailable(failure, mayHaveTakenEffect = false)
        repeat(READ_BACK_ATTEMPTS) {
            val stored = log.read(accepted.revision).onLeft { delay(READ_BACK_DELAY) }
            stored.onRight { found -> return if (found?.note?.id == accepted.note.id) accept(accepted) else null }
        }
        return Submission.Unavailable(failure, mayHaveTakenEffect = true)
    }

    private fun accept(accepted: AcceptedNote): Submission {
        estateHolder.offer(accepted)
        Part.CONFIGURATION.info("Accepted note ${accepted.note.id} of ${accepted.note.author} as ${accepted.revision}.")
        return Submission.Accepted(accepted.revision)
    }

    private companion object {
        const val READ_BACK_ATTEMPTS = 5
        val READ_BACK_DELAY = 200.milliseconds
    }
}
