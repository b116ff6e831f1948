package org.buckthornwheel.decision.membership

import kotlin.time.Duration

/**
 * Time without heartbeats after which a member changes its state.
 *
 * Heartbeats are forwarded by other hosts, so the expected dissemination time is added to each limit. Within a zone of
 * few hosts that time is zero.
 *
 * @property suspectAfter silence after which a member is given no new work.
 * @property goneAfter silence after which a member is assumed to be dead.
 * @property forgetAfter silence after which a member is removed.
 * @property interval time between two heartbeats of one host.
 */
public data class MembershipLimits(
    public val suspectAfter: Duration,
    public val goneAfter: Duration,
    public val forgetAfter: Duration,
    public val interval: Duration = Duration.ZERO,
) {
    internal fun disseminationTime(ownZoneHosts: Int, remoteZones: Int): Duration {
        val withinZone = if (ownZoneHosts <= MAXIMUM_DIRECT_HOSTS) 0 else ROUNDS_PER_DOUBLING * doublings(ownZoneHosts)
        val betweenZones = if (remoteZones <=
            MAXIMUM_DIRECT_ZONES
        ) {
            remoteZones.coerceAtMost(1)
        } else {
            ROUNDS_PER_ZONE * remoteZones
        }
        return interval * (withinZone + betweenZones)
    }

    private fun doublings(hosts: Int): Int = Int.SIZE_BITS - hosts.countLeadingZeroBits()

    private companion object {
        const val MAXIMUM_DIRECT_HOSTS = 3
        const val MAXIMUM_DIRECT_ZONES = 3
        const val ROUNDS_PER_ZONE = 3
        const val ROUNDS_PER_DOUBLING = 2
    }
}
