/*
 * Plays a load against the decisions of one host in virtual time, with places in place of replicas.
 */

package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.overload.RetryDelay
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One kind of request; [rate] is in requests a second at a time in seconds. */
internal class PlayedKind(
    val name: String,
    val rank: Int,
    val tokens: Long,
    val service: Duration,
    val target: Duration,
    val limit: Duration,
    val accounts: Map<String, Double> = mapOf("one" to 1.0),
    val rate: (Double) -> Double,
)

/** What the callers of one kind and account got. */
internal class PlayedOutcome {
    var asked = 0
    var onTime = 0
    var late = 0
    var heldInVain = Duration.ZERO
    val shareOnTime: Double get() = if (asked == 0) 1.0 else onTime.toDouble() / asked

    override fun toString(): String = "%d on time, %d late of %d (%.3f)".format(onTime, late, asked, shareOnTime)
}

/** Plays [kinds] on [places], which may change in time; callers return [returns] times. */
internal class WaitingPlay(
    private val kinds: List<PlayedKind>,
    private val places: (Double) -> Int,
    private val isOrdered: Boolean,
    private val returns: Int = 1,
    private val returnAfter: Duration? = null,
    seed: Int = 1,
) {
    private class Event(val at: Double, val number: Int, val action: () -> Unit)

    private inner class Call(val kind: PlayedKind, val account: String, val asked: Double, var tries: Int = 0) {
        var arrived = asked
        val slowness = 0.5 + arrivals.getValue(kind).nextDouble()
        var usedBefore = Duration.ZERO
        var ticket: WaitingTicket<Call>? = null
        val outcome = outcomes.getValue(kind.name to account)

        fun request() = WaitingRequest(
            kind.rank, AccountName(account), EVERYWHERE, kind.tokens, 1_000, at(arrived) + -usedBefore, kind.target,
            at(asked) + kind.limit, at(asked) + kind.limit,
        )
    }

    private val random = Random(seed)

    /** Of their own, so that the same load comes whatever is decided. */
    private val arrivals = kinds.withIndex().associate { (index, kind) -> kind to Random(seed * 100 + index) }
    private val timeLimits = CallerTimeLimits()
    private val queue = WaitingQueue<Call>(WaitingLimits())
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var numbers = 0
    private var now = 0.0
    private var running = 0
    private var polls = 0
    val outcomes = kinds.flatMap { kind ->
        kind.accounts.keys.map { kind.name to it }
    }.associateWith { PlayedOutcome() }
    val startsInOrder = ArrayList<Pair<String, Double>>()
    var idleWhileWaiting = 0
        private set
    var exits = 0
        private set
    var entries = 0
        private set

    /** The outcome of all accounts of [kind]. */
    fun kind(kind: String): PlayedOutcome = PlayedOutcome().also { sum ->
        outcomes.filterKeys { it.first == kind }.values.forEach {
            sum.asked += it.asked
            sum.onTime += it.onTime
            sum.late += it.late
            sum.heldInVain += it.heldInVain
        }
    }

    fun run(seconds: Double): WaitingPlay {
        kinds.forEach { scheduleArrival(it, 0.0, seconds) }
        if (isOrdered) after(POLL) { poll(seconds + 15) }
        while (true) {
            val event = events.poll() ?: break
            check(event.at >= now) { "virtual time runs backwards" }
            now = event.at
            event.action()
        }
        return this
    }

    private fun scheduleArrival(kind: PlayedKind, from: Double, end: Double) {
        val rate = kind.rate(from)
        val next = from - ln(1 - arrivals.getValue(kind).nextDouble()) / maxOf(rate, 0.1)
        if (next > end) return
        add(next) {
            if (rate > 0) arrive(Call(kind, account(kind), now).also { it.outcome.asked += 1 })
            scheduleArrival(kind, next, end)
        }
    }

    private fun account(kind: PlayedKind): String {
        var draw = arrivals.getValue(kind).nextDouble() * kind.accounts.values.sum()
        return kind.accounts.entries.first { (_, weight) -> (draw - weight < 0).also { draw -= weight } }.key
    }

    private fun arrive(call: Call) {
        call.arrived = now
        val remaining = call.kind.limit - (now - call.asked).seconds
        call.usedBefore = timeLimits.used(call.kind.name, null, remaining, at(now))
        if (isOrdered) queue.recordArrival(call.request(), at(now))
        when {
            isOrdered && queue.isBehind(call.request(), at(now)) -> enter(call)
            hasPlace() -> start(call)
            isOrdered -> enter(call)
            else -> tryAgain(call)
        }
    }

    private fun tryAgain(call: Call) {
        if (now + POLL - call.arrived > seconds(call.kind.target) * 0.125) {
            val remaining = call.kind.limit - (now - call.asked).seconds
            return reject(call, RetryDelay.after(10.milliseconds, call.kind.target, remaining, random.nextDouble()))
        }
        after(POLL) { if (hasPlace()) start(call) else tryAgain(call) }
    }

    private fun enter(call: Call) {
        when (val entry = queue.enter(call.request(), call, random.nextDouble(), at(now))) {
            is EntryResult.Rejected -> reject(call, entry.rejection.retryAfter)
            is EntryResult.Waiting -> {
                entries += 1
                call.ticket = entry.ticket
                entry.displaced?.let { leaveRejected(it) }
            }
        }
    }

    private fun leaveRejected(removed: RemovedTicket<Call>) {
        exits += 1
        check(removed.ticket === removed.ticket.owner.ticket) { "a request left the queue twice" }
        removed.ticket.owner.ticket = null
        reject(removed.ticket.owner, removed.rejection.retryAfter)
    }

    private fun reject(call: Call, retryAfter: Duration?) {
        call.outcome.heldInVain += (now - call.arrived).seconds
        val remaining = seconds(call.kind.limit) - (now - call.asked)
        val delay = minOf(seconds(returnAfter ?: retryAfter ?: (call.kind.target * 0.5)), remaining / 3)
        call.tries += 1
        if (call.tries <= returns && remaining > 0) after(delay) { arrive(call) }
    }

    private fun start(call: Call) {
        check(hasPlace())
        running += 1
        startsInOrder += call.account to now
        call.ticket?.let {
            exits += 1
            call.ticket = null
            wake(queue.start(it, at(now)))
        } ?: if (isOrdered) queue.recordStart(call.request(), at(now)) else Unit
        val took = seconds(call.kind.service) * call.slowness
        after(took) { end(call, took) }
    }

    private fun end(call: Call, took: Double) {
        running -= 1
        queue.recordResponseStart(call.kind.rank, took.seconds)
        queue.recordResponseEnd(call.kind.rank, took.seconds)
        val total = now - call.asked
        if (total <= seconds(call.kind.target)) {
            call.outcome.onTime += 1
        } else if (total <= seconds(call.kind.limit)) {
            call.outcome.late += 1
        }
        if (isOrdered) offer()
    }

    private fun poll(end: Double) {
        polls += 1
        if (polls % 4 == 0) queue.review(at(now), random::nextDouble).forEach(::leaveRejected)
        offer()
        if (now < end) after(POLL) { poll(end) }
    }

    private fun offer() {
        wake(queue.offer(at(now)))
        if (hasPlace() && queue.size > 0) idleWhileWaiting += 1
    }

    private fun wake(ticket: WaitingTicket<Call>?) {
        val woken = ticket ?: return
        if (hasPlace()) start(woken.owner) else wake(queue.refuse(woken, at(now)))
    }

    private fun hasPlace() = running < places(now)

    private fun after(delay: Double, action: () -> Unit) = add(now + delay, action)

    private fun add(at: Double, action: () -> Unit) {
        events += Event(at, numbers++, action)
    }

    companion object {
        private const val POLL = 0.012
        private val EVERYWHERE = ServingScope(emptySet(), emptySet(), emptySet())

        fun at(seconds: Double) = MonotonicInstant((seconds * 1e9).toLong())

        fun seconds(duration: Duration): Double = duration.inWholeNanoseconds / 1e9
    }
}
