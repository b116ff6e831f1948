package org.buckthornwheel.daemon.administration

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.daemon.audit.AuditTrail
import org.buckthornwheel.protocol.administration.AuditEntry
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditView
import org.buckthornwheel.protocol.administration.AuditedAction
import kotlin.time.Duration.Companion.days

/** Records the actions of operators in the audit trail, and lists them together with the accepted notes. */
internal class AuditRecorder(
    private val trail: AuditTrail,
    private val host: HostName,
    private val wallClock: () -> Long,
) {
    fun record(bearer: Bearer, action: AuditedAction, subject: String, result: AuditResult, detail: String) {
        val boundedSubject = subject.take(MAXIMUM_SUBJECT_CHARACTERS)
        val boundedDetail = detail.take(MAXIMUM_DETAIL_CHARACTERS)
        trail.record(AuditEntry(wallClock(), host.value, bearer.name, action, boundedSubject, result, boundedDetail))
    }

    /** The first [limit] entries from [since] on (milliseconds since the epoch), merged with the accepted [notes]. */
    suspend fun view(since: Long?, limit: Int, notes: List<AcceptedNote>): AuditView {
        val sinceMilliseconds = since ?: (wallClock() - DEFAULT_PERIOD.inWholeMilliseconds)
        val accepted = notes.map { it.entry() }.filter { it.atMilliseconds >= sinceMilliseconds }
        return trail.entriesSince(sinceMilliseconds, limit).fold(
            ifLeft = { AuditView(merge(accepted, limit), "the key-value service did not respond: ${it.detail}") },
            ifRight = { AuditView(merge(accepted + it, limit), truncationWarning(accepted.size + it.size, limit)) },
        )
    }

    private fun merge(entries: List<AuditEntry>, limit: Int): List<AuditEntry> =
        entries.sortedBy { it.atMilliseconds }.take(limit)

    private fun truncationWarning(count: Int, limit: Int): String? =
        "there may be more entries; request those since the time of the last one".takeIf { count >= limit }

    private fun AcceptedNote.entry(): AuditEntry = AuditEntry(
        atMilliseconds = acceptedAtMilliseconds,
        host = acceptedBy.value,
        who = note.author,
        action = AuditedAction.SUBMIT_NOTE,
        subject = note.id.value,
        result = AuditResult.ACCEPTED,
        detail = "revision $revision, ${note.touchedKeys().size} items",
    )

    private companion object {
        const val MAXIMUM_SUBJECT_CHARACTERS = 128
        const val MAXIMUM_DETAIL_CHARACTERS = 1_024
        val DEFAULT_PERIOD = 1.days
    }
}
