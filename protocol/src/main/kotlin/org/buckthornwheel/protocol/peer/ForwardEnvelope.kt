package org.buckthornwheel.protocol.peer

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ZoneName

/**
 * Metadata of a request that a host forwards to another host, sent signed in one HTTP header.
 *
 * @property path the path of the caller's request.
 * @property reads whether the request method is GET.
 * @property hops the number of times the request has been forwarded, including this time.
 * @property visitedZones the availability zones that have already handled the request.
 * @property remainingMilliseconds the time left until the caller's deadline.
 * @property permittedRegions the regions that the residency rule permits; null if every region is permitted.
 * @property idempotencyKey the caller's idempotency key; null if it sent none.
 * @property firstAttempt whether the caller states that the idempotency key was never sent before.
 * @property bodySha256 hash of the body, which prevents the envelope from being reused with another request.
 */
@Serializable
public data class ForwardEnvelope(
    public val requestId: RequestId,
    public val sender: HostName,
    public val account: AccountName,
    public val path: String,
    public val reads: Boolean,
    public val hops: Int,
    public val visitedZones: List<ZoneName>,
    public val remainingMilliseconds: Long,
    public val permittedRegions: List<RegionName>?,
    public val idempotencyKey: String?,
    public val bodySha256: String,
    public val firstAttempt: Boolean = false,
)
