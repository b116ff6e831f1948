package org.buckthornwheel.decision.account.share

import kotlin.time.Duration

/**
 * State of an account's bucket at one host, for logs and metrics.
 *
 * @property level units that are left over all hosts, as this host knows; negative after more was used.
 * @property share part of the limit that this host may use.
 * @property demand units a second that callers ask of this host.
 * @property age age of the share.
 */
public data class BucketState(
    public val ratePerSecond: Double,
    public val level: Double,
    public val share: Double,
    public val demand: Double,
    public val age: Duration,
)
