/*
 * The content of gossip messages: the state that hosts report about themselves and their zones.
 *
 * Heartbeats are short and repeated. A profile is sent once to each host that does not have it yet. A zone sends other
 * zones a summary of itself instead of data about each of its hosts and targets.
 */

package org.buckthornwheel.decision.membership

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.admission.AccountUsage
import org.buckthornwheel.decision.routing.WorkName
import kotlin.time.Duration

/** Proves that the host identified by [key] was running when it reached [sequence]; only that host creates new ones. */
public data class GossipHeartbeat(
    public val key: HostKey,
    public val sequence: Long,
    public val revision: Revision,
    public val leaving: Boolean,
)

/** The total load of a zone's targets for one kind of work, in requests except for [usableTargets]. */
public data class WorkLoad(
    public val work: WorkName,
    public val usableTargets: Int,
    public val capacity: Int,
    public val running: Int,
    public val waiting: Int,
)

/** The usage of one account. */
public data class AccountUsageEntry(public val account: AccountName, public val usage: AccountUsage)

/** The measured round-trip time between the sender's zone and [zone]. */
public data class LinkRoundTrip(public val zone: ZoneName, public val roundTrip: Duration)

/**
 * The state of a zone, as seen by one of its representatives.
 *
 * @property representative the host incarnation that created the summary; [sequence] orders the summaries of one
 *   representative.
 * @property age estimated time since the summary was created.
 * @property contacts heartbeats of live hosts of the zone, to which other zones may forward requests.
 */
public data class ZoneSummary(
    public val zone: ZoneName,
    public val region: RegionName,
    public val representative: HostKey,
    public val sequence: Long,
    public val age: Duration,
    public val contacts: ImmutableList<GossipHeartbeat>,
    public val loads: ImmutableList<WorkLoad>,
    public val usage: ImmutableList<AccountUsageEntry>,
)

/**
 * One gossip message.
 *
 * @property sender the sender's own heartbeat.
 * @property heartbeats newest heartbeats of hosts that the sender knows.
 * @property profiles profiles that the receiver may not have.
 * @property requestedProfiles keys of hosts whose profiles the sender asks for.
 * @property usage the usage of accounts at the sender's host alone.
 * @property links round trips that the sender has measured recently.
 * @property isJoinRequest whether the sender asks for the known members of its zone, and for the receiver's profile.
 * @property probe a number that the receiver returns at once as [echo], so that the sender can measure the round trip.
 */
public data class GossipContent(
    public val sender: GossipHeartbeat,
    public val heartbeats: ImmutableList<GossipHeartbeat> = persistentListOf(),
    public val profiles: ImmutableList<HostProfile> = persistentListOf(),
    public val requestedProfiles: ImmutableList<HostKey> = persistentListOf(),
    public val zones: ImmutableList<ZoneSummary> = persistentListOf(),
    public val usage: ImmutableList<AccountUsageEntry> = persistentListOf(),
    public val links: ImmutableList<LinkRoundTrip> = persistentListOf(),
    public val isJoinRequest: Boolean = false,
    public val probe: Long? = null,
    public val echo: Long? = null,
)
