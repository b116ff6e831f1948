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

/** What a request asks for. */
internal sealed interface RequestedWork {
    /** A completion by [model], whole or [streamed], of at most [maximumTokens] if the caller said so. */
    data class Completion(val model: ModelName, val streamed: Boolean, val maximumTokens: Int? = null) : RequestedWork

    /** A call of a plain service; [reads] if the caller used GET. */
    data class ServiceCall(
        val service: ServiceName,
        val operation: OperationName,
        val idempotent: Boolean,
        val isGet: Boolean,
    ) : RequestedWork
}

/**
 * One request on its way through this host.
 *
 * @property path path and query as the caller sent them.
 * @property deadline when the caller stops waiting.
 * @property scope where the request has been and where it may go.
 * @property firstAttempt whether the caller says that the idempotency key was never sent before.
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
    /** Whether the answer is a stream of events. */
    val isStreamed: Boolean get() = (work as? RequestedWork.Completion)?.streamed ?: false

    /** Whether the request may be run more than once. */
    val isIdempotent: Boolean get() = (work as? RequestedWork.ServiceCall)?.idempotent ?: true

    /**
     * How long one attempt that begins at [now] may take.
     *
     * What can be repeated is given up in time for another attempt, but not before [least].
     */
    fun attemptTimeout(now: MonotonicInstant, minimum: Duration): Duration {
        val left = deadline - now
        return if (isIdempotent) maxOf(minimum, left / 2) else left
    }
}

/**
 * Where a request has been and where it may go.
 *
 * @property hops how often it was forwarded before it came here.
 * @property visitedZones the zones that it has passed.
 * @property permittedRegions regions that residency allows; null if all are.
 */
internal data class RequestScope(
    val hops: Int,
    val visitedZones: List<ZoneName>,
    val permittedRegions: Set<RegionName>?,
)
