package org.buckthornwheel.daemon.administration

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Revision
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.identity.AccountDirectory
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.membership.HostProfile
import org.buckthornwheel.decision.membership.MemberState
import org.buckthornwheel.decision.membership.Membership
import org.buckthornwheel.protocol.administration.HostView
import org.buckthornwheel.protocol.administration.TargetView

/** The views for operators, built from the current state at each call. */
internal class AdministrationViews(
    private val self: () -> HostProfile,
    private val estate: EstateHolder,
    private val membership: Membership,
    private val fleet: TargetFleet,
    private val directory: AccountDirectory,
    private val registry: PrometheusMeterRegistry,
    private val clock: MonotonicClock,
) {
    fun metrics(): String = registry.scrape()

    fun hosts(): List<HostView> {
        val own = self()
        val state = if (own.leaving) MemberState.LEAVING else MemberState.ALIVE
        val now = clock.now()
        val others = membership.snapshot(now).map { member ->
            view(member.profile, member.state, member.revision, (now - member.heardAt).inWholeMilliseconds)
        }
        return (others + view(own, state, estate.current().revision, 0)).sortedBy { it.name }
    }

    fun targets(): List<TargetView> = estate.current().index.targets.map { target ->
        val state = fleet.state(target.name, clock.now())
        TargetView(
            name = target.name.value,
            zone = target.zone.value,
            running = state.lastReport?.running,
            waiting = state.lastReport?.waiting,
            ownInFlight = state.ownInFlight,
            ejected = state.ejected,
            leaving = state.lastReport?.leaving ?: false,
        )
    }

    /** What the host waits for before it can serve callers; empty if it is ready. */
    fun missingForReadiness(): List<String> = buildList {
        if (estate.current().revision == Revision.NONE) add("a configuration")
        if (!directory.loaded) add("the client directory")
        if (self().leaving) add("its shutdown: the host is leaving")
    }

    private fun view(profile: HostProfile, state: MemberState, revision: Revision, silentMilliseconds: Long): HostView =
        HostView(
            name = profile.name.value,
            region = profile.region.value,
            zone = profile.zone.value,
            callerAddress = profile.callerAddress.toString(),
            peerAddress = profile.peerAddress.toString(),
            state = state.name.lowercase(),
            revision = revision.value,
            silentMilliseconds = silentMilliseconds,
        )
}
