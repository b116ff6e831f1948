package org.buckthornwheel.daemon.audit

import arrow.core.Either
import arrow.core.right
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.LeaseId
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.protocol.administration.AuditEntry
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.seconds

/**
 * Stores the audit trail in the platform's key-value service, one value for each entry, ordered by time.
 *
 * Entries are queued while the service is unavailable; if the queue is full, an entry is dropped, logged and counted.
 * Each value has a lease, so that the service deletes it after [RETENTION].
 */
internal class PlatformAuditTrail(
    private val store: KeyValueStore,
    private val clock: MonotonicClock,
    registry: MeterRegistry,
    private val retryInterval: Duration = RETRY_INTERVAL,
) : AuditTrail {
    private data class HeldLease(val id: LeaseId, val grantedAt: MonotonicInstant)

    private data class Queued(val key: String, val entry: AuditEntry)

    private val queue = Channel<Queued>(QUEUE_LENGTH)
    private val dropped = registry.counter("buckthornwheel.audit.dropped")
    private var pending: Queued? = null
    private var lease: HeldLease? = null
    private var isOutageLogged = false

    override fun record(entry: AuditEntry) {
        val key = PREFIX + timeKey(entry.atMilliseconds) + "-" + UUID.randomUUID()
        if (queue.trySend(Queued(key, entry)).isSuccess) return
        dropped.increment()
        Part.AUDIT.warn("The queue is full; an entry of ${entry.who} about ${entry.subject} was dropped.")
    }

    override suspend fun entriesSince(sinceMilliseconds: Long, limit: Int): Either<PlatformFailure, List<AuditEntry>> =
        store.list(PREFIX, PREFIX + timeKey(sinceMilliseconds), limit).map { it.values.mapNotNull(::decode) }

    /** Writes queued entries until it is cancelled; an entry is removed once the service has stored it. */
    suspend fun run() {
        while (true) {
            val next = pending ?: queue.receive().also { pending = it }
            write(next).fold(
                ifLeft = {
                    lease = null
                    logOutageOnce(it)
                    delay(retryInterval)
                },
                ifRight = {
                    pending = null
                    isOutageLogged = false
                },
            )
        }
    }

    private fun logOutageOnce(failure: PlatformFailure) {
        if (isOutageLogged) return
        isOutageLogged = true
        Part.AUDIT.warn("Entries stay queued: ${failure.step} at ${failure.peer}: ${failure.detail}.")
    }

    // A refused write means that an earlier write took effect but its response was lost.
    private suspend fun write(queued: Queued): Either<PlatformFailure, Unit> = currentLease().fold(
        ifLeft = { Either.Left(it) },
        ifRight = { store.createIfAbsent(queued.key, encode(queued.entry), it).map { } },
    )

    private suspend fun currentLease(): Either<PlatformFailure, LeaseId> {
        val held = lease?.takeIf { clock.now() - it.grantedAt < LEASE_ROTATION }
        if (held != null) return held.id.right()
        return store.grantLease(RETENTION).onRight { lease = HeldLease(it, clock.now()) }
    }

    private fun encode(entry: AuditEntry): ByteArrayValue =
        ByteArrayValue(format.encodeToString(entry).encodeToByteArray())

    private fun decode(stored: StoredValue): AuditEntry? = try {
        format.decodeFromString<AuditEntry>(stored.value.bytes.decodeToString())
    } catch (_: SerializationException) {
        Part.AUDIT.warn("The entry ${stored.key} cannot be decoded.")
        null
    }

    private fun timeKey(milliseconds: Long): String = milliseconds.toString().padStart(TIME_DIGITS, '0')

    companion object {
        /** Maximum number of entries that are queued while the service is unavailable. */
        const val QUEUE_LENGTH: Int = 1_000
        private const val PREFIX = "/buckthornwheel/audit/"
        private const val TIME_DIGITS = 15
        private val RETENTION = 30.days
        private val LEASE_ROTATION = 1.days
        private val RETRY_INTERVAL = 1.seconds
        private val format = Json { ignoreUnknownKeys = true }
    }
}
