/*
 * What hosts tell each other about themselves and their zones.
 *
 * Signs of life are short and repeated; profiles travel once to each host that lacks them; a zone tells other
 * zones a summary of itself instead of each of its hosts and targets.
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

/** Proof that the host behind [key] was running when it counted to [sequence]; only that host makes new ones. */
public data class GossipHeartbeat(
    public val key: HostKey,
    public val sequence: Long,
    public val revision: Revision,
    public val leaving: Boolean,
)

/** The targets of a zone for one kind of work, added up; the numbers are requests but for [usableTargets]. */
public data class WorkLoad(
    public val work: WorkName,
    public val usableTargets: Int,
    public val capacity: Int,
    public val running: Int,
    public val waiting: Int,
)

/** What one account uses. */
public data class AccountUsageEntry(public val account: AccountName, public val usage: AccountUsage)

/** The measured time there and back between the sender's zone and [zone]. */
public data class LinkRoundTrip(public val zone: ZoneName, public val roundTrip: Duration)

/**
 * A zone as one of its speakers sees it.
 *
 * @property speaker the incarnation that made the summary; [sequence] orders the summaries of one speaker.
 * @property age time since the summary was made, as far as is known.
 * @property contacts live hosts of the zone to which others may forward.
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
 * One message of the exchange.
 *
 * @property sender the sender's own sign of life.
 * @property signs newest signs of the sender's zone.
 * @property profiles profiles that the receiver may lack.
 * @property wanted keys whose profiles the sender lacks.
 * @property usage what accounts use at the sender itself.
 * @property links round trips that the sender has measured lately.
 * @property greeting whether the sender asks to be told who is there.
 * @property probe a number to be sent back at once as [echo], by which the sender measures the round trip.
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
