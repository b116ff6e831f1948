package org.buckthornwheel.daemon.request

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.OperationName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import kotlin.time.Duration

/** The operation that a request asks for. */
internal sealed interface RequestedWork {
    /** A completion by [model], [streamed] or in one piece, of at most [maximumTokens] if the caller set a limit. */
    data class Completion(val model: ModelName, val streamed: Boolean, val maximumTokens: Int? = null) : RequestedWork

    /** A call of a plain service; [isGet] if the caller used GET. */
    data class ServiceCall(
        val service: ServiceName,
        val operation: OperationName,
        val idempotent: Boolean,
        val isGet: Boolean,
    ) : RequestedWork
}

/**
 * A request that this host processes.
 *
 * @property path path and query string as the caller sent them.
 * @property deadline when the caller stops waiting.
 * @property scope hops and zones so far, and the permitted regions.
 * @property firstAttempt whether the caller declares that it has never sent the idempotency key before.
 */
internal data class GatewayRequest(
    val id: RequestId,
    val account: AccountName,
    val path: String,
    val work: RequestedWork,
    val body: ByteArray,
    val deadline: MonotonicInstant,
    val scope: RequestScope,
    val idempotencyKey: String?,
    val firstAttempt: Boolean = false,
) {
    /** Whether the response is a stream of server-sent events. */
    val isStreamed: Boolean get() = (work as? RequestedWork.Completion)?.streamed ?: false

    /** Whether the request may be executed more than once. */
    val isIdempotent: Boolean get() = (work as? RequestedWork.ServiceCall)?.idempotent ?: true

    /**
     * The timeout of an attempt that begins at [now].
     *
     * An attempt of an idempotent request gets half the remaining time, so that a retry is possible before the
     * deadline, but at least [minimum].
     */
    fun attemptTimeout(now: MonotonicInstant, minimum: Duration): Duration {
        val remaining = deadline - now
        return if (isIdempotent) maxOf(minimum, remaining / 2) else remaining
    }
}

/**
 * How often and by which zones a request was forwarded, and the regions where it may be executed.
 *
 * @property hops how often the request was forwarded before it reached this host.
 * @property visitedZones the zones that have forwarded it.
 * @property permittedRegions regions that the residency rule permits; null if all are permitted.
 */
internal data class RequestScope(
    val hops: Int,
    val visitedZones: List<ZoneName>,
    val permittedRegions: Set<RegionName>?,
)
