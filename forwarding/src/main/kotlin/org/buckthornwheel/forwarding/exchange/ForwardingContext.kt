package org.buckthornwheel.forwarding.exchange

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountQuotas
import org.buckthornwheel.decision.attempt.HedgePolicy
import org.buckthornwheel.decision.entry.KnownEntryHosts
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.quarantine.PromptPartQuarantine
import org.buckthornwheel.decision.replica.RecentPrefills
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.version.StreamVersions
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.host.ManifestCurrency
import org.buckthornwheel.forwarding.host.RoutingState
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.ForwardingMeters

/** Shared state and services of a host that every proxied request uses. */
internal class ForwardingContext(
    val dialect: RequestDialect,
    private val clusterState: ClusterState,
    val hosts: KnownEntryHosts,
    private val places: Places,
    private val budgets: Budgets,
    private val observability: Observability,
    val shutdown: HostShutdown,
    val clock: MonotonicClock,
) {
    val retries: Retries get() = budgets.retries
    val quotas: AccountQuotas get() = budgets.quotas
    val hedges: HedgePolicy get() = budgets.hedges
    val limits: ReplicaLimits get() = budgets.limits
    val routingState: RoutingState get() = clusterState.routingState
    val replicas: ReplicaRegistry get() = clusterState.replicas
    val reads: RecentPrefills get() = clusterState.reads
    val quarantine: PromptPartQuarantine get() = clusterState.quarantine
    val versions: StreamVersions get() = clusterState.versions
    val currency: ManifestCurrency get() = clusterState.currency
    val placement: Placement get() = places.placement
    val queues: PlaceQueues get() = places.queues
    val log: DecisionLog get() = observability.log
    val meters: ForwardingMeters get() = observability.meters
}

/**
 * The host's view of manifest and replicas, the recent prefills that it reports, the quarantined prompt parts, whether
 * the manifest is current, and the software versions of streams.
 */
internal class ClusterState(
    val routingState: RoutingState,
    val replicas: ReplicaRegistry,
    val reads: RecentPrefills,
    val quarantine: PromptPartQuarantine,
    val currency: ManifestCurrency,
    val versions: StreamVersions,
)

/** The choice of places, and the queues of requests that wait for one. */
internal class Places(val placement: Placement, val queues: PlaceQueues)

/** What this host may give out: retries, hedged attempts, units of its accounts' limits, and requests to replicas. */
internal class Budgets(
    val retries: Retries,
    val hedges: HedgePolicy,
    val quotas: AccountQuotas,
    val limits: ReplicaLimits,
)

/** The outputs for decisions and metrics. */
internal class Observability(val log: DecisionLog, val meters: ForwardingMeters)
