package org.buckthornwheel.daemon.caller

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.MemberState
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.protocol.caller.EntryHost
import org.buckthornwheel.protocol.caller.EntryHosts

/** The hosts that callers may use now: local zone first, then local region, then the others; no leaving host. */
internal class EntryHostList(
    private val membership: Membership,
    private val self: () -> HostProfile,
    private val clock: MonotonicClock,
) {
    fun current(): EntryHosts {
        val own = self()
        val others = membership.snapshot(clock.now())
            .filter { it.state == MemberState.ALIVE }
            .map { it.profile }
        val usable = if (own.leaving) others else others + own
        val ordered = usable.sortedWith(
            compareBy({
                it.zone != own.zone
            }, { it.region != own.region }, { it.name.value }),
        )
        return EntryHosts(ordered.map { it.entry() }, TIME_TO_LIVE_SECONDS)
    }

    private fun HostProfile.entry(): EntryHost =
        EntryHost(name.value, region.value, zone.value, callerAddress.toString())

    private companion object {
        const val TIME_TO_LIVE_SECONDS = 5
    }
}
