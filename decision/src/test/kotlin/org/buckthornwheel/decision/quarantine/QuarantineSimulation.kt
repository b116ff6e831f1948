package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts and replicas in simulated time. Requests with [DEADLY_PART] crash the replica that begins to answer them; hosts
 * exchange reports twice a second, some of which are lost.
 */
internal class QuarantineSimulation(seed: Int, private val deadlyShare: Double, private val drafts: Int = 20) {
    /** A replica that is down until [startsAt] stays registered as [run] for that time. */
    private class Replica(val run: ReplicaRun, val startsAt: MonotonicInstant)

    private class Request(
        val host: Int,
        val parts: List<String>,
        val replica: Replica,
        val beginsAt: MonotonicInstant,
    ) {
        val isDeadly = DEADLY_PART in parts
        val endsAt = beginsAt + 1.seconds
    }

    private class Report(val to: Int, val report: QuarantineReport, val at: MonotonicInstant)

    private val random = Random(seed)
    private val start = MonotonicInstant(0) + 100.seconds
    private val hosts = List(HOSTS) { PromptPartQuarantine() }
    private val slots = MutableList(REPLICAS) { Replica(ReplicaRun(ReplicaId("r$it"), 0), MonotonicInstant(0)) }
    private val running = ArrayList<Request>()
    private val reports = ArrayList<Report>()

    /** Times at which replicas crashed, and at which requests with the part reached one. */
    val crashes = ArrayList<MonotonicInstant>()
    val deadlyReceived = ArrayList<MonotonicInstant>()

    /** Times at which sound requests were sent, and were rejected. */
    val soundSent = ArrayList<MonotonicInstant>()
    val soundRejected = ArrayList<MonotonicInstant>()

    fun run(duration: Duration): QuarantineSimulation {
        for (step in 0 until duration.inWholeMilliseconds / STEP_MILLISECONDS) {
            val now = start + (step * STEP_MILLISECONDS).milliseconds
            restart(now)
            finish(now)
            repeat(REQUESTS_PER_STEP) { arrive(now) }
            if (step % REPORT_STEPS == 0L) exchange(now)
            deliver(now)
        }
        return this
    }

    private fun arrive(now: MonotonicInstant) {
        val isDeadly = random.nextDouble() < deadlyShare
        val parts = if (isDeadly) listOf("shared", DEADLY_PART) else listOf("shared", "draft-${random.nextInt(drafts)}")
        val host = random.nextInt(HOSTS)
        when (val admission = hosts[host].admit(parts, now) { host == 0 }) {
            QuarantineAdmission.Admitted -> Unit
            is QuarantineAdmission.Probe -> hosts[host].recordProbe(admission.part, now)
            is QuarantineAdmission.Rejected -> {
                if (!isDeadly) soundRejected += now
                return
            }
        }
        if (!isDeadly) soundSent += now
        send(host, parts, now)
    }

    private fun send(host: Int, parts: List<String>, now: MonotonicInstant) {
        val replica = slots.random(random)
        if (replica.startsAt > now) return hosts[host].recordRefusal(replica.run, now)
        if (DEADLY_PART in parts) deadlyReceived += now
        running += Request(host, parts, replica, now + random.nextLong(LONGEST_WAIT_MILLISECONDS).milliseconds)
    }

    private fun finish(now: MonotonicInstant) {
        val culprits = running.filter { it.isDeadly && it.beginsAt <= now }.map { it.replica }.toSet()
        culprits.forEach { crash(it, now) }
        val ended = running.filter { it.endsAt <= now }
        ended.forEach { hosts[it.host].recordCompletion(it.parts, now) }
        running -= ended.toSet()
    }

    private fun crash(replica: Replica, now: MonotonicInstant) {
        crashes += now
        val lost = running.filter { it.replica === replica }
        lost.forEach { hosts[it.host].recordLoss(replica.run, it.parts, isCertain = true, now) }
        running -= lost.toSet()
        slots[slots.indexOf(replica)] = Replica(replica.run, now + DOWNTIME)
        lost.filterNot {
            it.isDeadly
        }.filter { hosts[it.host].mayRetry(it.parts) }.forEach { send(it.host, it.parts, now) }
    }

    private fun restart(now: MonotonicInstant) {
        slots.replaceAll { replica ->
            if (replica.startsAt != now) return@replaceAll replica
            Replica(replica.run.copy(startedAt = replica.run.startedAt + 1), MonotonicInstant(0))
        }
    }

    private fun exchange(now: MonotonicInstant) {
        for ((from, host) in hosts.withIndex()) {
            host.update(now) { run -> slots.any { it.run == run } }
            val report = host.report(now)
            for (to in hosts.indices - from) {
                if (random.nextDouble() < REPORT_LOSS) continue
                reports += Report(to, report, now + random.nextLong(LONGEST_DELAY_MILLISECONDS).milliseconds)
            }
        }
    }

    private fun deliver(now: MonotonicInstant) {
        val due = reports.filter { it.at <= now }
        reports -= due.toSet()
        due.forEach { hosts[it.to].merge(it.report, now) }
    }

    companion object {
        const val DEADLY_PART = "deadly"
        private const val HOSTS = 8
        private const val REPLICAS = 8
        private val DOWNTIME = 3.seconds
        private const val STEP_MILLISECONDS = 50L
        private const val REQUESTS_PER_STEP = 1
        private const val REPORT_STEPS = 10
        private const val REPORT_LOSS = 0.05
        private const val LONGEST_WAIT_MILLISECONDS = 1_000L
        private const val LONGEST_DELAY_MILLISECONDS = 100L
    }
}
