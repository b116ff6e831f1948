package org.buckthornwheel.daemon.configuration

import kotlinx.coroutines.flow.MutableStateFlow
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.estate.Estate
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Holds the estate in force on this host; its revision never decreases. */
internal class EstateHolder {
    private val lock = ReentrantLock()
    private val notes = ArrayList<AcceptedNote>()

    @Volatile
    private var estate: Estate = Estate.EMPTY

    /** The revision in force, as a flow. */
    val appliedRevision: MutableStateFlow<Revision> = MutableStateFlow(Revision.NONE)

    fun current(): Estate = estate

    /** Applies [accepted] if it is the next note; ignores notes already applied and notes that follow a gap. */
    fun offer(accepted: AcceptedNote): Unit = lock.withLock {
        if (accepted.revision <= estate.revision) return
        estate.apply(accepted).onRight { next ->
            estate = next
            notes.add(accepted)
            appliedRevision.value = next.revision
            Part.CONFIGURATION.info("Applied revision ${next.revision}.")
        }
    }

    /** At most [limit] applied notes of revisions after [after], oldest first. */
    fun notesAfter(after: Revision, limit: Int): List<AcceptedNote> = lock.withLock {
        notes.asSequence().filter { it.revision > after }.take(limit).toList()
    }
}
