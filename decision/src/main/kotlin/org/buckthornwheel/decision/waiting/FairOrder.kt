package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant

/**
 * Waiting requests of one rank, ordered by deficit round robin between accounts, and within an account by [limit].
 *
 * In each turn, an account may start as much work as the largest request has, so that an account with many or large
 * requests does not delay the others by more than one of them.
 */
internal class FairOrder<T>(private val limit: (WaitingTicket<T>) -> MonotonicInstant) {
    private val accounts = HashMap<AccountName?, AccountQueue>()
    private val turns = ArrayDeque<AccountQueue>()
    private var largestWork = 1L

    private inner class AccountQueue {
        val tickets = ArrayList<WaitingTicket<T>>()
        var work = 0L
        var credit = 0L

        /** What the account starts while another one starts [share] of work. */
        fun startedWithin(share: Double): WorkAmount {
            val started = minOf(work.toDouble(), share)
            return WorkAmount(tickets.size * started / work, started)
        }

        /** The index of the first ticket whose limit is later than [instant]. */
        fun indexAfter(instant: MonotonicInstant): Int {
            var low = 0
            var high = tickets.size
            while (low < high) {
                val middle = (low + high) / 2
                if (limit(tickets[middle]) <= instant) low = middle + 1 else high = middle
            }
            return low
        }
    }

    val isEmpty: Boolean get() = turns.isEmpty()

    /** The last ticket of the account with the most waiting work; null if none waits. */
    fun lastOfLargestAccount(): WaitingTicket<T>? = turns.maxByOrNull { it.work }?.tickets?.last()

    fun add(ticket: WaitingTicket<T>) {
        val queue = accounts.getOrPut(ticket.request.account) { AccountQueue().also(turns::addLast) }
        queue.tickets.add(queue.indexAfter(limit(ticket)), ticket)
        queue.work += ticket.request.work
        largestWork = maxOf(largestWork, ticket.request.work)
    }

    /** Removes [ticket]; returns whether it was present. */
    fun remove(ticket: WaitingTicket<T>): Boolean {
        val queue = accounts[ticket.request.account] ?: return false
        var index = queue.indexAfter(limit(ticket)) - 1
        while (index >= 0 && queue.tickets[index] !== ticket) index -= 1
        if (index < 0) return false
        queue.tickets.removeAt(index)
        queue.work -= ticket.request.work
        if (queue.tickets.isEmpty()) {
            accounts.remove(ticket.request.account)
            turns.remove(queue)
        }
        if (turns.isEmpty()) largestWork = 1
        return true
    }

    /** The ticket whose turn it is; the same one until it is removed or more urgent ones are added. */
    fun first(): WaitingTicket<T>? {
        while (true) {
            val queue = turns.firstOrNull() ?: return null
            val first = queue.tickets.first()
            if (turns.size == 1 || queue.credit >= first.request.work) return first
            queue.credit += largestWork
            turns.addLast(turns.removeFirst())
        }
    }

    /** Removes [ticket], which has started, and charges its account. */
    fun start(ticket: WaitingTicket<T>): Boolean {
        accounts[ticket.request.account]?.let { queue ->
            queue.credit = if (turns.size == 1) 0 else queue.credit - ticket.request.work
        }
        return remove(ticket)
    }

    /** Removes the tickets whose limit has passed at [now]. */
    fun takeExpired(now: MonotonicInstant): List<WaitingTicket<T>> {
        val expired = turns.flatMap { it.tickets.subList(0, it.indexAfter(now)) }
        expired.forEach(::remove)
        return expired
    }

    /** All waiting work. */
    fun total(): WorkAmount = turns.fold(WorkAmount.NONE) { sum, queue ->
        sum +
            WorkAmount(queue.tickets.size.toDouble(), queue.work.toDouble())
    }

    /** Work expected to start before that of [request], which does not wait yet and has the limit [until]. */
    fun ahead(request: WaitingRequest, until: MonotonicInstant): WorkAmount {
        val own = accounts[request.account]
        val before = own?.tickets?.subList(0, own.indexAfter(until)).orEmpty()
        val ownAhead = WorkAmount(before.size.toDouble(), before.sumOf { it.request.work }.toDouble())
        val share = ownAhead.work + request.work
        return turns.fold(ownAhead) { sum, queue -> if (queue === own) sum else sum + queue.startedWithin(share) }
    }

    /** Calls [action] for each ticket with the work expected to start before it. */
    fun forEachAhead(action: (WaitingTicket<T>, WorkAmount) -> Unit) {
        val shares = AccountShares(turns.map { it.tickets.size to it.work })
        for (queue in turns) {
            var own = WorkAmount.NONE
            for (ticket in queue.tickets) {
                val share = own.work + ticket.request.work
                val others = shares.startedWithin(share) - queue.startedWithin(share)
                action(ticket, own + others)
                own += WorkAmount(1.0, ticket.request.work.toDouble())
            }
        }
    }
}
