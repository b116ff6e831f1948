package org.buckthornwheel.daemon

import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.settings.HostSettings

/** What this process is: one incarnation of the host that the settings name, leaving or not. */
internal class SelfDescription(settings: HostSettings, val incarnation: Incarnation) {
    @Volatile
    private var current = HostProfile(
        name = settings.host.name,
        incarnation = incarnation,
        region = settings.host.region,
        zone = settings.host.zone,
        callerAddress = (settings.advertise?.callers ?: settings.listen.callers).address(),
        peerAddress = (settings.advertise?.peers ?: settings.listen.peers).address(),
        leaving = false,
    )

    fun profile(): HostProfile = current

    /** From now on every heartbeat says that this host is stopping. */
    fun leave() {
        current = current.copy(leaving = true)
    }
}
