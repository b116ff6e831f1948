package org.buckthornwheel.daemon.configuration

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.daemon.decodeStored
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.platform.WriteResult

/** Consecutive notes of the log, and the [version] of the service's state at which they were read. */
internal class NotePage(val notes: List<AcceptedNote>, val version: Long)

/** The estate's log in the platform's key-value service: one value for each accepted note, never overwritten. */
internal class NoteLog(private val store: KeyValueStore) {
    /** One page of the notes after [after], oldest first. */
    suspend fun readAfter(after: Revision): Either<PlatformFailure, NotePage> = either {
        val listing = store.list(PREFIX, key(after), PAGE_SIZE).bind()
        NotePage(listing.values.map { decode(it).bind() }, listing.version)
    }

    /** Writes [accepted] at its revision unless that revision already has a note. */
    suspend fun append(accepted: AcceptedNote): Either<PlatformFailure, WriteResult> =
        store.createIfAbsent(key(accepted.revision), encode(accepted))

    /** The note at [revision]; null if there is none. */
    suspend fun read(revision: Revision): Either<PlatformFailure, AcceptedNote?> = either {
        store.read(key(revision)).bind()?.let { decode(it).bind() }
    }

    /** The note in [stored]; a failure if it is malformed, since no later note can be applied without it. */
    fun decode(stored: StoredValue): Either<PlatformFailure, AcceptedNote> = decodeStored("decode note", stored) {
        format.decodeFromString(it)
    }

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
