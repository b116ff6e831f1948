package org.buckthornwheel.daemon.configuration

import arrow.core.Either
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.Listing
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.platform.WriteResult

/** The estate's log in the platform's key-value service: one value for each accepted note, never overwritten. */
internal class NoteLog(private val store: KeyValueStore) {
    /** One page of the notes after [after], oldest first. */
    suspend fun readAfter(after: Revision): Either<PlatformFailure, Listing> = store.list(PREFIX, key(after), PAGE_SIZE)

    /** Writes [accepted] at its revision unless that revision already has a note. */
    suspend fun append(accepted: AcceptedNote): Either<PlatformFailure, WriteResult> =
        store.createIfAbsent(key(accepted.revision), encode(accepted))

    /** The note at [revision]; null if there is none. */
    suspend fun read(revision: Revision): Either<PlatformFailure, AcceptedNote?> =
        store.read(key(revision)).map { it?.let(::decode) }

    fun decode(stored: StoredValue): AcceptedNote = format.decodeFromString(stored.value.bytes.decodeToString())

    private fun encode(accepted: AcceptedNote): ByteArrayValue =
        ByteArrayValue(format.encodeToString(accepted).encodeToByteArray())

    private fun key(revision: Revision): String = PREFIX + revision.value.toString().padStart(KEY_DIGITS, '0')

    companion object {
        /** Prefix of the log's keys. */
        const val PREFIX: String = "/buckthornwheel/notes/"
        private const val KEY_DIGITS = 12
        private const val PAGE_SIZE = 200
        private val format = Json { ignoreUnknownKeys = true }
    }
}
