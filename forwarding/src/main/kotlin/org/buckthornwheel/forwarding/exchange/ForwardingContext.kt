package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.entry.EntryHost
import org.buckthornwheel.decision.entry.EntryHosts
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.replica.RecentReads
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.host.Beliefs
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.ForwardingMeters

/** What every exchange of a host uses. */
internal class ForwardingContext(
    val self: EntryHost,
    val dialect: RequestDialect,
    val beliefs: Beliefs,
    val replicas: ReplicaRegistry,
    val reads: RecentReads,
    val hosts: EntryHosts,
    val placement: Placement,
    val budget: WindowedRetryBudget,
    val log: DecisionLog,
    val meters: ForwardingMeters,
    val clock: MonotonicClock,
)
