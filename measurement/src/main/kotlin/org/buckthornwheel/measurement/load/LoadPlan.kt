package org.buckthornwheel.measurement.load

import org.buckthornwheel.api.NetworkAddress
import kotlin.time.Duration

/** Number of [tokens] that each request asks for, and whether the response is [streamed]. */
public data class RequestShape(public val tokens: Int, public val streamed: Boolean)

/**
 * Open-loop load on one destination: requests are sent at a given rate, independently of earlier responses.
 *
 * @property requestsPerSecond mean rate of a Poisson process.
 * @property warmUp time before recording starts.
 * @property measured requests whose intended start lies in this time after the warm-up are recorded.
 * @property timeout time after its intended start when a request is abandoned and counted as late.
 * @property seed random seed of the intervals between requests.
 */
public data class LoadPlan(
    public val destination: NetworkAddress,
    public val bearerToken: String,
    public val shape: RequestShape,
    public val requestsPerSecond: Double,
    public val warmUp: Duration,
    public val measured: Duration,
    public val timeout: Duration,
    public val seed: Int,
)
