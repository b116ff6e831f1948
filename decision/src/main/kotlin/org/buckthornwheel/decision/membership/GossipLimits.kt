package org.buckthornwheel.decision.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the gossip traffic of one host.
 *
 * @property bytesPerSecond maximum bytes that one host sends, datagram headers included; announcements are not
 *   counted.
 * @property budgetDepth time over which unused bytes accumulate.
 * @property datagramBytes maximum bytes of one message, so that no link has to fragment it.
 * @property zoneFanout hosts of the own zone that are sent a message in each interval.
 * @property linkFanout other zones to which a representative sends in each interval.
 * @property heartbeats maximum heartbeats in one message.
 * @property contacts maximum hosts named in a summary.
 * @property accounts maximum accounts whose usage a message or a summary contains.
 * @property summaries maximum summaries of other zones in one message.
 * @property representatives hosts that represent a zone to other zones.
 * @property joinRequests join requests sent in one interval by a host that knows no live member.
 * @property joinRequestEveryIntervals intervals between two join requests of a host that knows live members.
 * @property profileEveryMessages messages to one receiver after which the sender's profile is sent again.
 */
public data class GossipLimits(
    public val bytesPerSecond: Int = 1_900,
    public val budgetDepth: Duration = 3.seconds,
    public val datagramBytes: Int = 1_400,
    public val zoneFanout: Int = 3,
    public val linkFanout: Int = 2,
    public val heartbeats: Int = 24,
    public val contacts: Int = 6,
    public val accounts: Int = 6,
    public val summaries: Int = 2,
    public val representatives: Int = 2,
    public val joinRequests: Int = 3,
    public val joinRequestEveryIntervals: Int = 16,
    public val profileEveryMessages: Int = 12,
)
