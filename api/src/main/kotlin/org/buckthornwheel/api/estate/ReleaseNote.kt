package org.buckthornwheel.api.estate

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.Revision

/**
 * What an operator asks for: items to add, to change and to withdraw.
 *
 * @property id chosen by the operator's tool; the same id is accepted once.
 * @property author who asks.
 * @property base the revision of the estate that the author had before the eyes.
 */
@Serializable
public data class ReleaseNote(
    public val id: NoteId,
    public val author: String,
    public val base: Revision,
    public val added: List<EstateItem> = emptyList(),
    public val changed: List<EstateItem> = emptyList(),
    public val withdrawn: List<ItemKey> = emptyList(),
) {
    /** Every key that the note touches, in order of appearance. */
    public fun touchedKeys(): List<ItemKey> = added.map { it.key } + changed.map { it.key } + withdrawn
}

/**
 * A note with its place in the estate's log.
 *
 * @property acceptedAtMilliseconds wall clock of the accepting host, milliseconds since the epoch; for the audit only.
 */
@Serializable
public data class AcceptedNote(
    public val revision: Revision,
    public val note: ReleaseNote,
    public val acceptedBy: HostName,
    public val acceptedAtMilliseconds: Long,
)
