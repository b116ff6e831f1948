package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountLimit
import org.buckthornwheel.decision.account.QuotaVerdict
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Units a second that callers ask of a host at a time, in requests of [cost] units. */
internal class Traffic(
    val account: AccountName,
    val cost: Double,
    val unitsPerSecond: (second: Double, host: Int) -> Double,
)

/**
 * Disturbances: messages that are lost, doubled, or late by up to a second, links that are cut, and hosts that restart
 * or, while [isFrozen], do nothing and read their messages later.
 */
internal class Disturbance(
    val lost: Double = 0.0,
    val doubled: Double = 0.0,
    val late: Double = 0.0,
    val isCut: (second: Double, from: Int, to: Int) -> Boolean = { _, _, _ -> false },
    val restartsAt: (host: Int) -> Double? = { null },
    val isFrozen: (second: Double, host: Int) -> Boolean = { _, _ -> false },
)

/** One host of a play, by what it is asked and told. */
internal class PlayedHost(
    val admit: (AccountName, AccountLimit, cost: Double, MonotonicInstant) -> QuotaVerdict,
    val endRound: (mostUses: Double, MonotonicInstant) -> QuotaReport?,
    val receive: (HostName, Incarnation, QuotaReport?, MonotonicInstant) -> Unit,
)

/** What is played: the hosts that share, and what each of them keeps. */
internal class PlayedSharing(
    val scope: SharingScope,
    val newHost: (QuotaSharers, MonotonicInstant, draw: () -> Double) -> PlayedHost,
) {
    companion object {
        val ACCOUNTS = PlayedSharing(SharingScope.ALL_REGIONS) { sharers, at, draw ->
            val quotas = SharedAccountQuotas(sharers, at, draw)
            PlayedHost(quotas::admit, quotas::endRound, quotas::receive)
        }

        /** Replicas that have the names of the accounts, at hosts of one region. */
        val REPLICAS = PlayedSharing(SharingScope.OWN_REGION) { sharers, at, draw ->
            val limits = SharedReplicaLimits(sharers, at, draw)
            val take = { replica: AccountName, limit: AccountLimit, _: Double, now: MonotonicInstant ->
                limits.take(ReplicaRun(ReplicaId(replica.value), 0), limit.ratePerSecond, isRepeated = false, now)
            }
            PlayedHost(take, limits::endRound, limits::receive)
        }
    }
}

/** Plays primary hosts of several regions that share limits, in steps of 10 ms, without a network. */
internal class QuotaPlay(
    private val primaries: Int,
    private val regions: Int,
    private val limit: (AccountName) -> AccountLimit,
    private val traffic: List<Traffic>,
    private val disturbance: Disturbance = Disturbance(),
    seed: Int = 1,
    private val sharing: PlayedSharing = PlayedSharing.ACCOUNTS,
    private val limitAt: (AccountName, second: Double) -> AccountLimit = { name, _ -> limit(name) },
) {
    private class Message(val at: Int, val from: Int, val incarnation: Long, val to: Int, val report: QuotaReport?)

    private val random = Random(seed)
    private val incarnations = LongArray(primaries) { 1 }
    private val names = List(primaries) { HostName("host-$it") }
    private val views = names.map {
        val others = names.toSet() - it
        sharing.scope.view(primaries, 1.0, others, reserved = others)
    }
    private val hosts = Array(primaries) { newHost(it, START) }
    private val former = arrayOfNulls<QuotaReport>(primaries)
    private val pending = PriorityQueue<Message>(compareBy { it.at })
    private val offsets = IntArray(primaries) { random.nextInt(ROUND_STEPS) }

    /** Units that were admitted, and those that one bucket for all hosts would admit, by account and step. */
    val admitted = HashMap<AccountName, ArrayList<Double>>()
    val possible = HashMap<AccountName, ArrayList<Double>>()
    private val levels = HashMap<AccountName, Double>()

    private fun newHost(host: Int, at: MonotonicInstant) = sharing.newHost({ views[host] }, at) { random.nextDouble() }

    private fun time(step: Int) = START + (step * STEP_MILLISECONDS).milliseconds

    fun run(seconds: Double): QuotaPlay = apply {
        for (step in 0 until (seconds * STEPS_PER_SECOND).toInt()) {
            restart(step)
            while (pending.isNotEmpty() && pending.peek().at <= step) deliver(pending.poll(), step)
            for (host in tellingHosts(step)) tell(host, step)
            for (account in traffic.map { it.account }.distinct()) serve(account, step)
        }
    }

    private fun restart(step: Int) {
        for (host in 0 until primaries) {
            if (disturbance.restartsAt(host)?.let { (it * STEPS_PER_SECOND).toInt() == step } != true) continue
            hosts[host] = newHost(host, time(step))
            incarnations[host] += 1L
            former[host] = null
        }
    }

    private fun tellingHosts(step: Int) =
        (0 until primaries).filter { (step + offsets[it]) % ROUND_STEPS == 0 && !isFrozen(it, step) }

    private fun isFrozen(host: Int, step: Int) = disturbance.isFrozen(step / STEPS_PER_SECOND, host)

    private fun deliver(message: Message, step: Int) {
        if (isFrozen(message.to, step)) {
            pending += Message(step + 1, message.from, message.incarnation, message.to, message.report)
            return
        }
        hosts[message.to]
            .receive(names[message.from], Incarnation(message.incarnation), message.report, time(step))
    }

    private fun tell(host: Int, step: Int) {
        val report = hosts[host].endRound(QuotaReport.usesPerRound(primaries - 1), time(step))
        val both = QuotaReport.merged(former[host], report)
        former[host] = report
        for (other in 0 until primaries) {
            if (other == host) continue
            val isNear = other % regions == host % regions
            val round = (step + offsets[host]) / ROUND_STEPS
            if (isNear || (round + other) % 2 == 0) send(host, other, if (isNear) report else both, isNear, step)
        }
    }

    private fun send(from: Int, to: Int, report: QuotaReport?, isNear: Boolean, step: Int) {
        val isCut = disturbance.isCut(step / STEPS_PER_SECOND, from, to)
        if (isCut || random.nextDouble() < disturbance.lost) return
        val late = if (random.nextDouble() < disturbance.late) random.nextInt(100) else 0
        val message = Message(step + late + if (isNear) 1 else 6, from, incarnations[from], to, report)
        pending += message
        if (random.nextDouble() < disturbance.doubled) pending += message
    }

    private fun serve(account: AccountName, step: Int) {
        val limit = limitAt(account, step / STEPS_PER_SECOND)
        var used = 0.0
        var ideal = 0.0
        val level = minOf(limit.burst, (levels[account] ?: 0.0) + limit.ratePerSecond / STEPS_PER_SECOND)
        for (stream in traffic.filter { it.account == account }) {
            for (host in 0 until primaries) {
                if (isFrozen(host, step)) continue
                repeat(requests(stream, host, step)) {
                    val verdict = hosts[host].admit(account, limit, stream.cost, time(step))
                    if (verdict is QuotaVerdict.Admitted) used += stream.cost
                    if (level - ideal >= stream.cost) ideal += stream.cost
                }
            }
        }
        levels[account] = level - ideal
        admitted.getOrPut(account) { ArrayList() } += used
        possible.getOrPut(account) { ArrayList() } += ideal
    }

    private fun requests(stream: Traffic, host: Int, step: Int): Int {
        val expected = stream.unitsPerSecond(step / STEPS_PER_SECOND, host) / stream.cost / STEPS_PER_SECOND
        val whole = expected.toInt()
        return whole + if (random.nextDouble() < expected - whole) 1 else 0
    }

    /** Units by which the worst window of 8 s exceeds the limit itself; negative if none does. */
    fun excess(account: AccountName): Double {
        val sums = admitted.getValue(account).runningFold(0.0, Double::plus)
        val steps = (WINDOW_SECONDS * STEPS_PER_SECOND).toInt()
        val most = sums.indices.maxOf { sums[it] - sums[maxOf(0, it - steps)] }
        return most - limit(account).let { it.ratePerSecond * WINDOW_SECONDS + it.burst }
    }

    /** Units that the rule tolerates beyond the limit. */
    fun tolerated(account: AccountName): Double =
        limit(account).let { (it.ratePerSecond * WINDOW_SECONDS + it.burst) * 0.1 + 190_000 }

    /** Admitted units between two seconds, as a part of those that one bucket for all hosts would admit. */
    fun part(account: AccountName, from: Double, to: Double): Double {
        val steps = (from * STEPS_PER_SECOND).toInt() until (to * STEPS_PER_SECOND).toInt()
        return steps.sumOf { admitted.getValue(account)[it] } / steps.sumOf { possible.getValue(account)[it] }
    }

    private companion object {
        val START = MonotonicInstant(1_000_000_000_000)
        const val STEP_MILLISECONDS = 10
        const val STEPS_PER_SECOND = 100.0
        const val ROUND_STEPS = 25
        const val WINDOW_SECONDS = 8.0
    }
}
