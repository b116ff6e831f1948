package org.buckthornwheel.daemon.configuration

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.decision.membership.ZoneDuty
import org.buckthornwheel.decision.membership.ZoneDutyAssignment

/** Decides whether this host is one of the few hosts of its zone that watch the platform's log. */
internal class WatchDuty(
    private val self: () -> HostProfile,
    private val membership: Membership,
    private val clock: MonotonicClock,
) {
    fun isHeld(): Boolean {
        val own = self()
        val live = membership.usable(own.zone, clock.now()).map { it.profile.name } + own.name
        return own.name in ZoneDutyAssignment.of(own.zone, ZoneDuty.WATCHER, live, WATCHERS)
    }

    private companion object {
        const val WATCHERS = 2
    }
}
