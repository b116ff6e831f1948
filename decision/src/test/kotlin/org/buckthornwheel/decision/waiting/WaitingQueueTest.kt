package org.buckthornwheel.decision.waiting

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class WaitingQueueTest {
    private val start = MonotonicInstant(0)
    private val queue = WaitingQueue<String>(WaitingLimits())

    private fun request(
        rank: Int = 1,
        account: String? = null,
        homes: Set<String> = emptySet(),
        tokens: Long = 100,
        at: Duration = Duration.ZERO,
        target: Duration = 5.seconds,
    ) = WaitingRequest(
        rank,
        account?.let(::AccountName),
        ServingScope(homes.map(::RegionName).toSet(), emptySet(), emptySet()),
        tokens,
        1_000,
        start + at,
        target,
        start + at + 20.seconds,
        start + at + 20.seconds,
    )

    private fun <T> WaitingQueue<T>.ticket(request: WaitingRequest, owner: T): WaitingTicket<T> =
        (enter(request, owner, 0.5, request.arrivedAt) as EntryResult.Waiting).ticket

    /** The owners in the order in which places that open one after the other go to them. */
    private fun startAll(): List<String> {
        val started = ArrayList<String>()
        var next = queue.offer(start)
        while (next != null) {
            started += next.owner
            next = queue.start(next, start)
        }
        return started
    }

    @Test
    fun `a more urgent request starts first, then the one whose target ends first`() {
        queue.ticket(request(rank = 2), "question")
        queue.ticket(request(rank = 0), "review")
        queue.ticket(request(rank = 0, target = 4.seconds), "short review")
        expectThat(startAll()).isEqualTo(listOf("short review", "review", "question"))
    }

    @Test
    fun `an account with many requests is served in turn with others, by tokens of work`() {
        repeat(6) { queue.ticket(request(account = "many"), "many $it") }
        repeat(2) { queue.ticket(request(account = "few"), "few $it") }
        expectThat(startAll().take(4).count { it.startsWith("few") }).isEqualTo(2)
    }

    @Test
    fun `a newcomer is behind a waiting request that may be served wherever it may`() {
        queue.ticket(request(homes = setOf("north")), "waits")
        expectThat(queue.isBehind(request(homes = setOf("north")), start)).isTrue()
        expectThat(queue.isBehind(request(homes = setOf("south")), start)).isFalse()
        expectThat(queue.isBehind(request(), start)).isFalse()
        expectThat(queue.isClaimed(request(), RegionName("north"), null, null, start)).isTrue()
        expectThat(queue.isClaimed(request(), RegionName("south"), null, null, start)).isFalse()
        expectThat(queue.isBehind(request(rank = 0, homes = setOf("north")), start)).isFalse()
    }

    // A request that waited for one software version kept the places of another one from those that could use them.
    @Test
    fun `a request that waits for one software version leaves the places of another one to others`() {
        val waiting = request().let { it.copy(scope = it.scope.copy(version = SoftwareVersion("v1"))) }
        queue.ticket(waiting, "waits for v1")
        expectThat(queue.isBehind(request(), start)).isFalse()
        expectThat(queue.isBehind(waiting, start)).isTrue()
        val north = RegionName("north")
        expectThat(queue.isClaimed(request(), north, null, SoftwareVersion("v2"), start)).isFalse()
        expectThat(queue.isClaimed(request(), north, null, SoftwareVersion("v1"), start)).isTrue()
    }

    @Test
    fun `where a request finds no place, only one with another scope or a much smaller one is tried`() {
        val large = queue.ticket(request(tokens = 10_000), "large")
        queue.ticket(request(rank = 2, tokens = 9_000), "nearly as large")
        queue.ticket(request(rank = 3, tokens = 500), "small")
        expectThat(queue.offer(start)).isEqualTo(large)
        val second = queue.refuse(large, start)
        expectThat(second).isNotNull().get { owner }.isEqualTo("small")
        expectThat(queue.refuse(second!!, start)).isNull()
    }

    @Test
    fun `a full queue lets a more urgent request displace the least urgent one`() {
        val small = WaitingQueue<String>(WaitingLimits(maximumRequests = 1))
        small.ticket(request(rank = 2), "question")
        expectThat(small.enter(request(rank = 2), "other", 0.5, start)).isA<EntryResult.Rejected<String>>()
        val entry = small.enter(request(rank = 0), "review", 0.5, start)
        expectThat(entry).isA<EntryResult.Waiting<String>>().get { displaced?.ticket?.owner }.isEqualTo("question")
        expectThat(small.size).isEqualTo(1)
    }

    @Test
    fun `while no place opens, requests wait for a short time, then only the first one does`() {
        queue.ticket(request(), "first")
        queue.ticket(request(), "second")
        expectThat(queue.review(start + 500.milliseconds) { 0.5 }).isEmpty()
        val removed = queue.review(start + 3.seconds) { 0.5 }
        expectThat(removed.map { it.ticket.owner }).isEqualTo(listOf("second"))
        expectThat(queue.enter(request(at = 3.seconds), "third", 0.5, start + 3.seconds))
            .isA<EntryResult.Rejected<String>>().get { rejection.reason }
            .isEqualTo(WaitingRejectionReason.PREDICTED_TOO_LATE)
    }

    @Test
    fun `rejected callers are told to return one after the other, no faster than places open`() {
        val times = ReturnTimes()
        val delays = List(20) { times.next(1.seconds, 10.0, 60.seconds, 0.5, start) }
        expectThat(delays.first()).isEqualTo(1.seconds)
        delays.zipWithNext { one, next -> expectThat(next - one).isEqualTo(100.milliseconds) }
        expectThat(times.next(30.seconds, 10.0, 6.seconds, 0.5, start)).isLessThanOrEqualTo(2.seconds)
    }

    @Test
    fun `a caller that returns has the target of its first attempt`() {
        val limits = CallerTimeLimits()
        expectThat(limits.used("route", null, 6.seconds, start)).isEqualTo(Duration.ZERO)
        expectThat(limits.used("route", null, 4.seconds, start + 2.seconds)).isEqualTo(2.seconds)
        expectThat(limits.used("other", null, 4.seconds, start + 2.seconds)).isEqualTo(Duration.ZERO)
    }

    /** Random entries, offers with and without a place, departures and reviews. */
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5])
    fun `each ticket leaves exactly once, and every offer is of a waiting request`(seed: Int) {
        val random = Random(seed)
        val waiting = HashSet<WaitingTicket<String>>()
        var exits = 0
        var entries = 0
        fun leave(ticket: WaitingTicket<String>) {
            check(waiting.remove(ticket)) { "left twice" }
            exits += 1
        }
        repeat(20_000) { step ->
            val now = start + 3.milliseconds * step
            val new = request(
                random.nextInt(3),
                "a${random.nextInt(5)}",
                tokens = random.nextLong(1, 9_000),
                at = 3.milliseconds * step,
                target = (200 + random.nextInt(2_000)).milliseconds,
            )
            val entry = queue.enter(new, "r", random.nextDouble(), now)
            if (entry is EntryResult.Waiting) {
                entries += 1
                waiting += entry.ticket
                entry.displaced?.let { leave(it.ticket) }
            }
            if (step % 30 == 0) queue.review(now, random::nextDouble).forEach { leave(it.ticket) }
            if (random.nextInt(9) == 0) {
                waiting.randomOrNull(random)?.let {
                    leave(it)
                    queue.leave(it, now)
                }
            }
            var next = queue.offer(now)
            while (next != null) {
                check(next in waiting)
                next = if (random.nextInt(3) > 0) queue.refuse(next, now) else queue.start(next.also(::leave), now)
            }
            check(queue.size == waiting.size)
        }
        expectThat(entries).isGreaterThan(1_000)
        expectThat(exits + queue.size).isEqualTo(entries)
    }
}
