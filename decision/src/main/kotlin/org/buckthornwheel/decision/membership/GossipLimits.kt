package org.buckthornwheel.decision.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the exchange between hosts.
 *
 * @property bytesPerSecond bytes that one host sends at most, datagram headers included, apart from urgent news.
 * @property budgetDepth time over which an unused rate may be saved up.
 * @property datagramBytes bytes of one message at most, so that no link has to fragment it.
 * @property zoneFanout hosts of the own zone that get a message each interval.
 * @property linkFanout other zones that a speaker sends to each interval.
 * @property signs signs of life in one message at most.
 * @property contacts hosts that a summary names at most.
 * @property accounts accounts whose usage a message or a summary carries at most.
 * @property summaries summaries of other zones that one message carries at most.
 * @property speakers hosts of a zone that speak for it.
 * @property greetings addresses that are greeted in one interval by a host that knows nobody.
 * @property greetEvery intervals between two greetings by a host that knows others.
 * @property introduceEvery messages to one receiver after which the sender's profile is sent again.
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
    public val speakers: Int = 2,
    public val greetings: Int = 3,
    public val greetEvery: Int = 16,
    public val introduceEvery: Int = 12,
)
