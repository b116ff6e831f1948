package org.buckthornwheel.daemon.audit

import arrow.core.Either
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.protocol.administration.AuditEntry

/** Records administrative actions on the estate and its hosts; accepted notes are recorded by the estate's log. */
internal interface AuditTrail {
    /** Records [entry]; returns at once, even while the platform is unavailable. */
    fun record(entry: AuditEntry)

    /** Returns at most [limit] entries of [sinceMilliseconds] or later, oldest first. */
    suspend fun entriesSince(sinceMilliseconds: Long, limit: Int): Either<PlatformFailure, List<AuditEntry>>
}
