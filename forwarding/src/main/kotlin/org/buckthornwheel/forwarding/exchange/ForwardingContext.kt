package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.account.AccountQuotas
import org.buckthornwheel.decision.attempt.WindowedRetryBudget
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.entry.SharedBudgets
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.decision.replica.RecentPrefills
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.host.RoutingState
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.ForwardingMeters

/** Shared state and services of a host that every proxied request uses. */
internal class ForwardingContext(
    val dialect: RequestDialect,
    private val clusterState: ClusterState,
    val hosts: KnownEntryHosts,
    val placement: Placement,
    val retries: Retries,
    private val observability: Observability,
    val shutdown: HostShutdown,
    val clock: MonotonicClock,
    val quotas: AccountQuotas = AccountQuotas.UNLIMITED,
) {
    val routingState: RoutingState get() = clusterState.routingState
    val replicas: ReplicaRegistry get() = clusterState.replicas
    val reads: RecentPrefills get() = clusterState.reads
    val quarantine: PromptPartQuarantine get() = clusterState.quarantine
    val log: DecisionLog get() = observability.log
    val meters: ForwardingMeters get() = observability.meters
}

/** The host's view of manifest and replicas, the recent prefills that it reports, and the quarantined prompt parts. */
internal class ClusterState(
    val routingState: RoutingState,
    val replicas: ReplicaRegistry,
    val reads: RecentPrefills,
    val quarantine: PromptPartQuarantine,
)

/** The retries that this host may send, as its part of the [budget] that all hosts share. */
internal class Retries(private val budget: WindowedRetryBudget, private val sharedBudgets: SharedBudgets) {
    fun recordRequest(service: ServiceName, now: MonotonicInstant): Unit = budget.recordRequest(service, now)

    fun tryWithdraw(service: ServiceName, now: MonotonicInstant): Boolean =
        budget.tryWithdraw(service, sharedBudgets.retrySharers(now), now)
}

/** The outputs for decisions and metrics. */
internal class Observability(val log: DecisionLog, val meters: ForwardingMeters)
