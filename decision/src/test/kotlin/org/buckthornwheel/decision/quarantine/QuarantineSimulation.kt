package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.replica.ReplicaId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Hosts and replicas in simulated time. Requests with [DEADLY_PART] crash the replica that begins to answer them; hosts
 * exchange reports twice a second, some of which are lost. A share [deadlyRequests] of the requests does the same,
 * whose parts are sound; callers repeat requests that were lost or rejected, at any host.
 */
internal class QuarantineSimulation(
    seed: Int,
    private val deadlyShare: Double,
    private val drafts: Int = 20,
    private val deadlyRequests: Double = 0.0,
) {
    /** A replica that is down until [startsAt] stays registered as [run] for that time. */
    private class Replica(val run: ReplicaRun, val startsAt: MonotonicInstant)

    private class Request(
        val host: Int,
        val parts: List<String>,
        val replica: Replica,
        val beginsAt: MonotonicInstant,
        val whole: Whole?,
    ) {
        val isDeadly = DEADLY_PART in parts || whole?.isDeadly == true
        val endsAt = beginsAt + 1.seconds
    }

    /** A whole request, which its caller sends up to [ATTEMPTS] times; [rejectedAt] has the times of rejections. */
    class Whole(val identity: String, val parts: List<String>, val isDeadly: Boolean) {
        var attempts = 0
        val received = ArrayList<MonotonicInstant>()
        val crashes = ArrayList<MonotonicInstant>()
        val rejectedAt = ArrayList<MonotonicInstant>()
        var isCompleted = false
    }

    private class Attempt(val whole: Whole, val host: Int, val arrivedAt: MonotonicInstant, val at: MonotonicInstant)

    private class Report(val to: Int, val report: QuarantineReport, val at: MonotonicInstant)

    private val random = Random(seed)
    private val start = MonotonicInstant(0) + 100.seconds
    private val hosts = List(HOSTS) { PromptPartQuarantine() }
    private val slots = MutableList(REPLICAS) { Replica(ReplicaRun(ReplicaId("r$it"), 0), MonotonicInstant(0)) }
    private val running = ArrayList<Request>()
    private val reports = ArrayList<Report>()
    private val attempts = ArrayList<Attempt>()

    /** All requests that callers repeat. */
    val wholeRequests = ArrayList<Whole>()

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
            repeat(REQUESTS_PER_STEP) { if (deadlyRequests > 0) arriveWhole(now) else arrive(now) }
            attempt(now)
            if (step % REPORT_STEPS == 0L) exchange(now)
            if (deadlyRequests > 0 && step % REPORT_STEPS == REPORT_STEPS / 2L) exchange(now) { it.takeUrgency() }
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

    private fun arriveWhole(now: MonotonicInstant) {
        val isDeadly = random.nextDouble() < deadlyRequests
        val parts = listOf("shared", "draft-${random.nextInt(drafts)}")
        val whole = Whole(RequestIdentity.of(listOf("${wholeRequests.size}"), emptyList()), parts, isDeadly)
        wholeRequests += whole
        repeatByCaller(whole, now)
    }

    private fun repeatByCaller(whole: Whole, now: MonotonicInstant) {
        if (whole.attempts++ >= ATTEMPTS) return
        val at = if (whole.attempts == 1) now else now + random.nextLong(LONGEST_REPEAT_MILLISECONDS).milliseconds
        attempts += Attempt(whole, random.nextInt(HOSTS), at, at)
    }

    /** Handles the attempts that are due as a host does. */
    private fun attempt(now: MonotonicInstant) {
        val due = attempts.filter { it.at <= now }
        attempts -= due.toSet()
        for (attempt in due) {
            val whole = attempt.whole
            val host = hosts[attempt.host]
            val delayedUntil = attempt.arrivedAt + host.delay(whole.identity)
            when (val admission = host.admit(whole.parts + whole.identity, now) { attempt.host == 0 }) {
                is QuarantineAdmission.Rejected -> {
                    whole.rejectedAt += now
                    repeatByCaller(whole, now)
                }

                is QuarantineAdmission.Probe -> {
                    host.recordProbe(admission.part, now)
                    send(attempt.host, whole.parts, now, whole)
                }

                QuarantineAdmission.Admitted -> if (delayedUntil > now) {
                    attempts += Attempt(whole, attempt.host, attempt.arrivedAt, delayedUntil)
                } else {
                    send(attempt.host, whole.parts, now, whole)
                }
            }
        }
    }

    private fun send(host: Int, parts: List<String>, now: MonotonicInstant, whole: Whole? = null) {
        val replica = slots.random(random)
        if (replica.startsAt > now) {
            hosts[host].recordRefusal(replica.run, now)
            whole?.let { repeatByCaller(it, now) }
            return
        }
        if (DEADLY_PART in parts) deadlyReceived += now
        whole?.received?.add(now)
        running += Request(host, parts, replica, now + random.nextLong(LONGEST_WAIT_MILLISECONDS).milliseconds, whole)
    }

    private fun finish(now: MonotonicInstant) {
        val begun = running.filter { it.isDeadly && it.beginsAt <= now }
        begun.forEach { it.whole?.crashes?.add(now) }
        val culprits = begun.map { it.replica }.toSet()
        culprits.forEach { crash(it, now) }
        val ended = running.filter { it.endsAt <= now }
        for (request in ended) {
            hosts[request.host].recordCompletion(request.parts, now, request.whole?.identity)
            request.whole?.isCompleted = true
        }
        running -= ended.toSet()
    }

    private fun crash(replica: Replica, now: MonotonicInstant) {
        crashes += now
        val lost = running.filter { it.replica === replica }
        lost.forEach { hosts[it.host].recordLoss(replica.run, it.parts, isCertain = true, now, it.whole?.identity) }
        running -= lost.toSet()
        slots[slots.indexOf(replica)] = Replica(replica.run, now + DOWNTIME)
        for (request in lost) {
            val whole = request.whole
            val mayRetry = (whole != null || !request.isDeadly) &&
                hosts[request.host].mayRetry(request.parts, whole?.identity)
            if (mayRetry) send(request.host, request.parts, now, whole) else whole?.let { repeatByCaller(it, now) }
        }
    }

    private fun restart(now: MonotonicInstant) {
        slots.replaceAll { replica ->
            if (replica.startsAt != now) return@replaceAll replica
            Replica(replica.run.copy(startedAt = replica.run.startedAt + 1), MonotonicInstant(0))
        }
    }

    private fun exchange(now: MonotonicInstant, isDue: (PromptPartQuarantine) -> Boolean = { true }) {
        for ((from, host) in hosts.withIndex()) {
            host.update(now) { run -> slots.any { it.run == run } }
            if (!isDue(host)) continue
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
        private const val ATTEMPTS = 8
        private const val LONGEST_REPEAT_MILLISECONDS = 300L
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
