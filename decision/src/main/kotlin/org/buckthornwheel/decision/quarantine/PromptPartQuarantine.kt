package org.buckthornwheel.decision.quarantine

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps requests away from replicas that their content would crash.
 *
 * Suspects are prompt parts, which many requests share, and whole requests, which their callers repeat
 * ([RequestIdentity]). A whole request explains its own crashes, which then count only once against its parts.
 *
 * Hosts share what they know of crashes, of completed requests and of quarantined parts, since each host sees only a
 * few of the requests. Each host decides on its own; a decision of one is adopted by all. After a while, a single host
 * sends a single request as a probe, so that a part that was blamed by mistake, or that no longer does harm, is
 * released.
 * Thread-safe.
 */
public class PromptPartQuarantine {
    private val lock = Any()
    private val crashes = ReplicaCrashes()
    private val completed = CompletedParts()
    private val requests = SuspectRequests(completed)
    private val quarantined = LinkedHashMap<String, QuarantinedPart>()

    /** Read without the lock for each request. */
    @Volatile
    private var quarantinedParts: Set<String> = emptySet()

    /** Whether any whole request is suspected; read without the lock for each request. */
    @Volatile
    public var hasSuspectRequests: Boolean = false
        private set

    private var isUrgent = false
    private var reportNumber = 0

    /** The quarantined parts and requests. */
    public val parts: Set<String> get() = quarantinedParts

    /**
     * Records that the connection of a request with the shared [parts] to [run] was lost. [isCertain] is false if the
     * response may have ended with its connection; [request] identifies the whole request.
     */
    public fun recordLoss(
        run: ReplicaRun,
        parts: List<String>,
        isCertain: Boolean,
        now: MonotonicInstant,
        request: String? = null,
    ): Unit = synchronized(lock) {
        crashes.addLoss(run, parts, isCertain, now)
        if (request == null || !isCertain) return@synchronized
        requests.add(request, run, now)
        hasSuspectRequests = true
        if (requests.crashesOf(request) >= CRASHES_WITHOUT_RETRY) isUrgent = true
    }

    /** Whether other hosts should be told at once, since a request was lost again; true once for each time. */
    public fun takeUrgency(): Boolean = synchronized(lock) { isUrgent.also { isUrgent = false } }

    /** Records that [run] refused a connection. */
    public fun recordRefusal(run: ReplicaRun, now: MonotonicInstant): Unit =
        synchronized(lock) { crashes.addRefusal(run, now) }

    /**
     * Records that a replica completed a request with the shared [parts]; [request] identifies the whole request and is
     * remembered only if it is suspected, since there are many.
     */
    public fun recordCompletion(parts: List<String>, now: MonotonicInstant, request: String? = null): Unit =
        synchronized(lock) {
            parts.forEach { completed.add(it, now) }
            if (request != null && (request in requests || request in quarantined)) completed.add(request, now)
        }

    /** How long a whole [request] that was lost repeatedly waits, so that reports of its last crash arrive before. */
    public fun delay(request: String): Duration = synchronized(lock) {
        if (requests.crashesOf(request) >= CRASHES_WITHOUT_RETRY) SUSPECT_DELAY else Duration.ZERO
    }

    /** Whether a request with the given [parts] may be sent; [mayProbe] is whether this host probes a given part. */
    public fun admit(parts: List<String>, now: MonotonicInstant, mayProbe: (String) -> Boolean): QuarantineAdmission {
        if (parts.none { it in quarantinedParts }) return QuarantineAdmission.Admitted
        return synchronized(lock) {
            val entries = parts.mapNotNull { quarantined[it] }
            entries.forEach { quarantined[it.part] = it.copy(requestedAt = now) }
            val blocking = entries.firstOrNull { !isProbeDue(it, now) || !mayProbe(it.part) }
            when {
                blocking != null -> QuarantineAdmission.Rejected(blocking.part, retryAt(blocking, now))
                entries.isEmpty() -> QuarantineAdmission.Admitted
                else -> QuarantineAdmission.Probe(entries.first().part)
            }
        }
    }

    /** Records that a probe for [part] was sent to a replica. */
    public fun recordProbe(part: String, now: MonotonicInstant): Unit = synchronized(lock) {
        quarantined.computeIfPresent(part) { _, entry ->
            entry.copy(since = now, probes = entry.probes + 1, nextProbeAt = now + SECOND_PROBE_DELAY)
        }
    }

    /** Whether the [request] with the shared [parts] may be retried after its replica was lost. */
    public fun mayRetry(parts: List<String>, request: String? = null): Boolean = synchronized(lock) {
        if (request != null && requests.crashesOf(request) >= CRASHES_WITHOUT_RETRY) return@synchronized false
        val all = crashes.all()
        parts.none { CrashAttribution.crashesOf(it, all, completed) >= CRASHES_WITHOUT_RETRY }
    }

    /**
     * Decides which parts are quarantined or released at [now]; called several times per second. [isRegistered] is
     * whether a replica is still registered with the same run.
     */
    public fun update(now: MonotonicInstant, isRegistered: (ReplicaRun) -> Boolean): List<QuarantineChange> =
        synchronized(lock) {
            crashes.removeExpired(now)
            crashes.confirmUnregistered(isRegistered)
            requests.removeBefore(now + -IDLE_LIMIT)
            hasSuspectRequests = !requests.isEmpty || quarantined.keys.any(RequestIdentity::isRequest)
            val foundRequests = quarantineRequests(now)
            val settled = crashes.all().filter { it.isConfirmed && now - it.at >= EVIDENCE_DELAY }
            val unexplained = settled.filterNot { crash -> crash.suspects.keys.any { it in quarantined } }
            val found = CrashAttribution.responsibleParts(unexplained, completed, requestsByRun()::get)
            val foundParts = found.map { (part, runs) -> quarantine(part, runs, now) }
            foundRequests + foundParts + release(now)
        }

    private fun quarantineRequests(now: MonotonicInstant): List<QuarantineChange> =
        requests.repeated(CrashAttribution.MINIMUM_CRASHES).filterNot { it in quarantined }.map { request ->
            makeRoomForRequest()
            quarantine(request, requests.runsOf(request), now)
        }

    private fun quarantine(part: String, runs: List<ReplicaRun>, now: MonotonicInstant): QuarantineChange {
        quarantined[part] = QuarantinedPart(part, now, probes = 0, now + FIRST_PROBE_DELAY, requestedAt = now)
        return QuarantineChange.Quarantined(part, runs)
    }

    /** Removes the request that was asked for the longest ago if there are too many. */
    private fun makeRoomForRequest() {
        val entries = quarantined.values.filter { RequestIdentity.isRequest(it.part) }
        if (entries.size >=
            MAXIMUM_REQUESTS
        ) {
            entries.minByOrNull { it.requestedAt }?.let { quarantined.remove(it.part) }
        }
    }

    /** The quarantined request that crashed each run; the one that was quarantined first if there are several. */
    private fun requestsByRun(): Map<ReplicaRun, String> = quarantined.keys.filter(RequestIdentity::isRequest)
        .flatMap { request -> requests.runsOf(request).map { it to request } }.asReversed().toMap()

    /** What other hosts need to know at [now]. */
    public fun report(now: MonotonicInstant): QuarantineReport = synchronized(lock) {
        val all = crashes.all()
        val crashesByPart = all.flatMap { it.suspects.keys }.groupingBy { it }.eachCount()
        val recent = all.filter { now - it.at <= REPORTED_FOR }.takeLast(MAXIMUM_REPORTED_CRASHES)
            .map { it.copy(suspects = reportedSuspects(it, crashesByPart) + reportedRequests(it)) }
        reportNumber += 1
        val repeated = if (recent.isEmpty()) emptyList() else repeatedSuspects(crashesByPart)
        val completions = (quarantined.keys + repeated)
            .mapNotNull { part -> completed.lastCompletion(part)?.let { PartCompletion(part, it) } }
        QuarantineReport(recent, completions.take(MAXIMUM_REPORTED_COMPLETIONS), reportedEntries(now))
    }

    /** Applies the [report] of another host, whose times are converted to this host's clock. */
    public fun merge(report: QuarantineReport, now: MonotonicInstant): List<QuarantineChange> = synchronized(lock) {
        for (crash in report.crashes) {
            val (whole, shared) = crash.suspects.entries.partition { RequestIdentity.isRequest(it.key) }
            crashes.merge(crash.copy(suspects = shared.associate { it.key to it.value }))
            if (crash.isConfirmed) whole.forEach { requests.add(it.key, crash.run, crash.at) }
        }
        hasSuspectRequests = hasSuspectRequests || !requests.isEmpty
        report.completions.forEach { completed.add(it.part, it.at) }
        val changes = report.quarantined.mapNotNull(::adopt)
        changes + release(now)
    }

    /** Adds a [part] that was quarantined [age] before [now], if this host does not know of it. */
    public fun addRecorded(part: String, age: Duration, now: MonotonicInstant): List<QuarantineChange> =
        synchronized(lock) {
            val entry = QuarantinedPart(part, now + -age, probes = 1, now + SECOND_PROBE_DELAY, requestedAt = now)
            listOfNotNull(adopt(entry)) + release(now)
        }

    private fun adopt(entry: QuarantinedPart): QuarantineChange? {
        val present = quarantined[entry.part]
        if (present == null && !hasRoomFor(entry)) return null
        quarantined[entry.part] = when {
            present == null -> entry
            entry.probes > present.probes -> entry.copy(requestedAt = maxOf(entry.requestedAt, present.requestedAt))
            else -> present.copy(requestedAt = maxOf(entry.requestedAt, present.requestedAt))
        }
        return if (present == null) QuarantineChange.Quarantined(entry.part, emptyList()) else null
    }

    private fun hasRoomFor(entry: QuarantinedPart): Boolean {
        if (isReleased(entry)) return false
        if (RequestIdentity.isRequest(entry.part)) return true.also { makeRoomForRequest() }
        return quarantined.keys.count { !RequestIdentity.isRequest(it) } < MAXIMUM_QUARANTINED
    }

    private fun release(now: MonotonicInstant): List<QuarantineChange> {
        val released = quarantined.values.filter { isReleased(it) || now - it.requestedAt > IDLE_LIMIT }
        for (entry in released) {
            quarantined.remove(entry.part)
            if (isReleased(entry)) completed.addMistake(entry.part)
        }
        hasSuspectRequests = hasSuspectRequests || quarantined.keys.any(RequestIdentity::isRequest)
        quarantinedParts = quarantined.keys.toSet()
        return released.map { QuarantineChange.Released(it.part) }
    }

    private fun isReleased(entry: QuarantinedPart): Boolean =
        completed.lastCompletion(entry.part)?.let { it > entry.since } ?: false

    private fun isProbeDue(entry: QuarantinedPart, now: MonotonicInstant): Boolean =
        entry.probes < MAXIMUM_PROBES && now >= entry.nextProbeAt

    private fun retryAt(entry: QuarantinedPart, now: MonotonicInstant): MonotonicInstant =
        if (entry.probes < MAXIMUM_PROBES) maxOf(entry.nextProbeAt, now + MINIMUM_RETRY_DELAY) else now + IDLE_LIMIT

    /** The parts that appear in the most crashes come first, since the report is limited. */
    private fun reportedSuspects(crash: ReplicaCrash, crashesByPart: Map<String, Int>): Map<String, Int> =
        CrashAttribution.suspects(crash, completed).entries
            .sortedByDescending { crashesByPart[it.key] ?: 0 }
            .take(MAXIMUM_REPORTED_SUSPECTS)
            .associate { it.key to it.value }

    /** Another selection in each report, since a crash may have more requests than a report has room for. */
    private fun reportedRequests(crash: ReplicaCrash): Map<String, Int> {
        val all = requests.requestsIn(crash.run)
        val (repeated, others) = all.partition { requests.crashesOf(it) >= CRASHES_WITHOUT_RETRY }
        val rotation = if (others.isEmpty()) 0 else Math.floorMod(reportNumber * MAXIMUM_REPORTED_REQUESTS, others.size)
        return (repeated + others.drop(rotation) + others.take(rotation)).take(MAXIMUM_REPORTED_REQUESTS)
            .associateWith { 0 }
    }

    /** All quarantined parts, and the requests that were quarantined or asked for lately. */
    private fun reportedEntries(now: MonotonicInstant): List<QuarantinedPart> {
        val (whole, shared) = quarantined.values.partition { RequestIdentity.isRequest(it.part) }
        val recent = whole.filter { now - maxOf(it.since, it.requestedAt) <= REQUEST_REPORTED_FOR }
        return shared + recent.sortedByDescending { it.requestedAt }.take(MAXIMUM_REPORTED_ENTRIES)
    }

    private fun repeatedSuspects(crashesByPart: Map<String, Int>): List<String> = crashesByPart.entries.filter {
        it.value >= CRASHES_WITHOUT_RETRY
    }.sortedByDescending { it.value }.map { it.key }

    private companion object {
        /** Crashes of a part after which lost requests with it are not retried. */
        const val CRASHES_WITHOUT_RETRY = 2

        /** Time until the other hosts' knowledge of a crash has arrived: two heartbeats between regions. */
        val EVIDENCE_DELAY = 1_200.milliseconds

        /** Time for which a crash or completion is reported; several heartbeats, since datagrams get lost. */
        val REPORTED_FOR = 5.seconds

        /** Limits on the size of a report: about one kilobyte. */
        const val MAXIMUM_REPORTED_CRASHES = 6
        const val MAXIMUM_REPORTED_SUSPECTS = 12
        const val MAXIMUM_REPORTED_COMPLETIONS = 24
        const val MAXIMUM_QUARANTINED = 16
        const val MAXIMUM_REPORTED_REQUESTS = 16
        const val MAXIMUM_REPORTED_ENTRIES = 12

        /** Limit on memory; each entry concerns the attempts of few callers. */
        const val MAXIMUM_REQUESTS = 256

        /** Time for which a quarantined request is reported after its last attempt; several heartbeats. */
        val REQUEST_REPORTED_FOR = 10.seconds

        /** Two heartbeats and the way between regions. */
        val SUSPECT_DELAY = 600.milliseconds

        /** Each probe of a part that still does harm costs a replica, so there are few. */
        const val MAXIMUM_PROBES = 2
        val FIRST_PROBE_DELAY = 15.seconds
        val SECOND_PROBE_DELAY = 60.seconds

        /** Time without requests after which a part is forgotten. */
        val IDLE_LIMIT = 10.minutes
        val MINIMUM_RETRY_DELAY = 1.seconds
    }
}
