package org.buckthornwheel.daemon

import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.settings.HostSettings

/** The host that this process runs: its profile, which includes its incarnation and whether it is leaving. */
internal class LocalHost(settings: HostSettings, val incarnation: Incarnation) {
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

    /** Marks this host as leaving; every later heartbeat reports that. */
    fun markLeaving() {
        current = current.copy(leaving = true)
    }
}
