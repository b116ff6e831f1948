package org.buckthornwheel.daemon.audit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.LeaseId
import org.buckthornwheel.platform.Listing
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.platform.WatchEvent
import org.buckthornwheel.platform.WriteResult
import java.util.concurrent.ConcurrentSkipListMap
import kotlin.time.Duration

/** An in-memory store that can be unavailable, or apply writes and lose their responses. */
internal class ScriptedStore : KeyValueStore {
    private val values = ConcurrentSkipListMap<String, StoredValue>()

    @Volatile
    var isUnavailable = false

    @Volatile
    var losesWriteResponses = false

    val size: Int get() = values.size

    override suspend fun read(key: String): Either<PlatformFailure, StoredValue?> = respond { values[key] }

    override suspend fun list(prefix: String, after: String?, limit: Int): Either<PlatformFailure, Listing> =
        respond { Listing(values.tailMap(after ?: prefix, false).values.take(limit), values.size.toLong()) }

    override suspend fun createIfAbsent(key: String, value: ByteArrayValue, lease: LeaseId?) = respond {
        val present = values.putIfAbsent(key, StoredValue(key, value, version = 1))
        if (present == null) WriteResult.Written(1) else WriteResult.Refused(present)
    }.let { if (losesWriteResponses) failure().left() else it }

    override suspend fun replace(key: String, value: ByteArrayValue, version: Long, lease: LeaseId?) = unused()

    override suspend fun delete(key: String, version: Long) = unused()

    override suspend fun grantLease(timeToLive: Duration): Either<PlatformFailure, LeaseId> = respond { LeaseId(1) }

    override suspend fun keepAlive(lease: LeaseId): Either<PlatformFailure, Boolean> = respond { true }

    override suspend fun revokeLease(lease: LeaseId): Either<PlatformFailure, Unit> = respond { }

    override fun watch(prefix: String, fromVersion: Long): Flow<Either<PlatformFailure, WatchEvent>> = emptyFlow()

    private fun unused(): Either<PlatformFailure, WriteResult> = failure().left()

    private fun <Result> respond(block: () -> Result): Either<PlatformFailure, Result> =
        if (isUnavailable) failure().left() else block().right()

    private fun failure() = PlatformFailure("scripted", "store", "unavailable", mayHaveTakenEffect = true)
}
