package org.buckthornwheel.daemon.fleet

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.routing.SharingHosts
import kotlin.time.Duration.Companion.milliseconds

/** Counts the usable hosts of the local zone; the count is cached, because every request reads it. */
internal class ZoneHostCount(
    private val membership: Membership,
    private val zone: ZoneName,
    private val clock: MonotonicClock,
) : SharingHosts {
    @Volatile
    private var cached = HostCount(1, MonotonicInstant(clock.now().nanoseconds - RECOUNT_AFTER.inWholeNanoseconds - 1))

    override fun count(): Int {
        val now = clock.now()
        if (now - cached.countedAt > RECOUNT_AFTER) cached = HostCount(membership.usable(zone, now).size + 1, now)
        return cached.hosts
    }

    private class HostCount(val hosts: Int, val countedAt: MonotonicInstant)

    private companion object {
        val RECOUNT_AFTER = 500.milliseconds
    }
}
