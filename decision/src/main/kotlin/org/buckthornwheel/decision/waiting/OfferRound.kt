package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration

/**
 * One round in which waiting requests are offered places, one after the other.
 *
 * A request that found no place also stands for those that may only be served where it may, unless they are much
 * smaller. If a place may have opened during a round, another round follows.
 *
 * @property longestOffer time after which an offer without an outcome no longer holds up the next round.
 */
internal class OfferRound<T>(private val longestOffer: Duration) {
    private val refused = ArrayList<WaitingTicket<T>>()
    private var offeredAt: MonotonicInstant? = null
    private var isRepeatNeeded = false

    /** The ticket that is being offered a place; null between rounds. */
    var offered: WaitingTicket<T>? = null
        private set

    /** Begins a round at [now]; false if one is in progress, which is then followed by another one. */
    fun begin(now: MonotonicInstant): Boolean {
        val since = offeredAt
        if (since != null && now - since < longestOffer) {
            isRepeatNeeded = true
            return false
        }
        refused.clear()
        return true
    }

    /** Offers a place to [ticket]; the round ends if it is null. */
    fun offer(ticket: WaitingTicket<T>?, now: MonotonicInstant) {
        offered = ticket
        offeredAt = ticket?.let { now }
    }

    fun refuse(ticket: WaitingTicket<T>) {
        refused += ticket
    }

    /** Whether a request that found no place in this round stands for [ticket]. */
    fun isRefused(ticket: WaitingTicket<T>): Boolean = refused.any {
        it === ticket ||
            (it.request.scope.covers(ticket.request.scope) && !ticket.request.isMuchSmallerThan(it.request))
    }

    /** Whether another round follows the one that has ended. */
    fun takeRepeat(): Boolean {
        val isNeeded = isRepeatNeeded
        isRepeatNeeded = false
        if (isNeeded) refused.clear()
        return isNeeded
    }
}
