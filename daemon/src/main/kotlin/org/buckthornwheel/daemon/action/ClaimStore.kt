package org.buckthornwheel.daemon.action

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.decision.ledger.ActionClaim
import org.buckthornwheel.decision.ledger.ActionKey
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.platform.WriteResult

/** Result of an attempt to claim a key. */
internal sealed interface ClaimWrite {
    /** The claim is stored; [version] is the version of its last write. */
    data class Written(val version: Long) : ClaimWrite

    /** Another claim is already stored under the key; [version] is the version of its last write. */
    data class Present(val claim: ActionClaim, val version: Long) : ClaimWrite
}

/** The claims of one zone in the platform's key-value service. */
internal class ClaimStore(private val store: KeyValueStore, zone: ZoneName, registry: MeterRegistry) {
    private val prefix = "/buckthornwheel/claims/$zone/"
    private val calls = registry.counter("buckthornwheel.actions.platform.calls")

    /** Writes [claim] if its key is absent; retries once if the response was lost, and recognizes its own claim. */
    suspend fun create(claim: ActionClaim): Either<PlatformFailure, ClaimWrite> {
        val written = createOnce(claim)
        val failure = written.leftOrNull() ?: return written
        return if (failure.mayHaveTakenEffect) createOnce(claim) else written
    }

    /** Stores [claim] with its result; [version] is the version of the key's last write, if known. */
    suspend fun record(claim: ActionClaim, version: Long?): Either<PlatformFailure, Unit> {
        if (version != null) return replace(claim, version)
        return create(claim).flatMap { write ->
            val isOwn = write is ClaimWrite.Present && write.claim.hold.holder == claim.hold.holder
            if (isOwn) replace(claim, write.version) else Unit.right()
        }
    }

    /** Lists every claim of the zone. */
    suspend fun list(): Either<PlatformFailure, List<ActionClaim>> = either {
        val claims = ArrayList<ActionClaim>()
        var after: String? = null
        do {
            calls.increment()
            val page = store.list(prefix, after, PAGE_SIZE).bind().values
            page.mapNotNullTo(claims) { claimOf(it) }
            after = page.lastOrNull()?.key
        } while (page.size == PAGE_SIZE)
        claims
    }

    private suspend fun replace(claim: ActionClaim, version: Long): Either<PlatformFailure, Unit> {
        calls.increment()
        return store.replace(keyOf(claim.key), valueOf(claim), version).map { }
    }

    private suspend fun createOnce(claim: ActionClaim): Either<PlatformFailure, ClaimWrite> {
        calls.increment()
        return store.createIfAbsent(keyOf(claim.key), valueOf(claim)).flatMap { result ->
            when (result) {
                is WriteResult.Written -> ClaimWrite.Written(result.version).right()
                is WriteResult.Refused -> present(claim, result.present)
            }
        }
    }

    private fun present(claim: ActionClaim, value: StoredValue?): Either<PlatformFailure, ClaimWrite> {
        val found = value?.let(::claimOf)
            ?: return PlatformFailure("claim", prefix, "the claim cannot be decoded", mayHaveTakenEffect = false).left()
        if (found == claim) return ClaimWrite.Written(value.version).right()
        return ClaimWrite.Present(found, value.version).right()
    }

    private fun keyOf(key: ActionKey): String = prefix + sha256("${key.account}\u0000${key.key}".encodeToByteArray())

    private fun valueOf(claim: ActionClaim): ByteArrayValue =
        ByteArrayValue(Json.encodeToString(claim).encodeToByteArray())

    private fun claimOf(value: StoredValue): ActionClaim? = Either.catch {
        format.decodeFromString<ActionClaim>(value.value.bytes.decodeToString())
    }.getOrNull()

    private companion object {
        const val PAGE_SIZE = 500
        val format = Json { ignoreUnknownKeys = true }
    }
}
