package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.decision.replica.SoftwareVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Which software version a stream that has begun goes on at. */
public sealed interface BegunStream {
    /** The [version] that began it. */
    public data class At(public val version: SoftwareVersion) : BegunStream

    /** It cannot be told which version began it, so it must not go on. */
    public data object Unknown : BegunStream
}

/**
 * The shares of the software versions of one service, as this host knows them. Thread-safe.
 *
 * Load pattern: versions follow each other within seconds, and all hosts lose power meanwhile. A host that has just
 * started derives the version of a stream from the history that the store holds. Shares that were replaced count for as
 * long as a stream may still be taken up, from the moment at which this host learned of the change; no clock of another
 * host is involved, and a host that learned late has told wrong versions no longer than that. New shares apply to new
 * streams only a moment after they were learned, so that the other hosts, where such a stream may be taken up, know
 * them too.
 */
public class ServiceVersions {
    private val lock = Any()
    private var history = VersionHistory(0, emptyList())
    private var storedNumber = 0L
    private var currentAt = MonotonicInstant(Long.MIN_VALUE)
    private var appliesFrom = MonotonicInstant(Long.MIN_VALUE)

    /** The shares by which streams begin here until those in force apply. */
    private var former = VersionShares.NONE

    /** When this host learned that shares had been replaced, and that every host has learned it. */
    private class Replacement(val learnedAt: MonotonicInstant, var everywhereAt: MonotonicInstant? = null)

    private val replaced = LinkedHashMap<VersionShares, Replacement>()

    /** The versions with a share that no replica serves: since when, and when that last was so. */
    private val unservedSince = HashMap<SoftwareVersion, MonotonicInstant>()
    private val unservedAt = HashMap<SoftwareVersion, MonotonicInstant>()

    /** The history in force; its number is 0 while none was recorded in the store. */
    public val current: VersionHistory get() = synchronized(lock) { history }

    /** Whether the store holds the history in force, as far as is known. */
    public val isStored: Boolean get() = synchronized(lock) { history.number > 0 && storedNumber == history.number }

    /**
     * Applies the history that the store holds, null if it holds none. If a later one is in force, it stays so, and
     * the stored one counts as replaced.
     */
    public fun applyStored(stored: VersionHistory?, now: MonotonicInstant): Unit = synchronized(lock) {
        storedNumber = stored?.number ?: 0
        currentAt = now
        when {
            stored == null -> Unit
            stored.number >= history.number -> replace(stored, now)
            // Hosts that know no later history begin streams by it until the one in force is stored again.
            else -> (stored.shares - history.inForce).forEach { replaced[it] = Replacement(now) }
        }
    }

    /** Applies [counted], which this host counted itself, while the store holds no history. */
    public fun applyCounted(counted: VersionShares, now: MonotonicInstant): Unit = synchronized(lock) {
        if (history.number == 0L) currentAt = now
        val isKnown = history.number > 0 || history.inForce.isNear(counted)
        if (!isKnown) replace(VersionHistory(0, listOf(counted)), now)
    }

    private fun replace(next: VersionHistory, now: MonotonicInstant) {
        // Shares that were replaced before may have been in force again.
        val hasMissedChanges = next != history && next.number != history.number + 1
        for (shares in history.shares + next.shares) {
            if (hasMissedChanges) replaced.remove(shares)
            replaced.putIfAbsent(shares, Replacement(now))
        }
        replaced.remove(next.inForce)
        if (next.inForce != history.inForce) {
            former = applying(now)
            appliesFrom = if (former.versions.isEmpty()) now else now + SPREADING_TIME
        }
        history = next
    }

    private fun applying(now: MonotonicInstant): VersionShares = if (now < appliesFrom) former else history.inForce

    /** Records that this host missed no change of the estate up to [now]. */
    public fun recordCurrent(now: MonotonicInstant): Unit = synchronized(lock) { currentAt = now }

    /** Records that replicas of the versions [served], and of no others, may get streams at [now]. */
    public fun recordServed(served: Set<SoftwareVersion>, now: MonotonicInstant): Unit = synchronized(lock) {
        val unserved = history.shares.flatMapTo(HashSet()) { it.versions } - served
        unservedSince.keys.retainAll(unserved)
        for (version in unserved) {
            unservedSince.putIfAbsent(version, now)
            unservedAt[version] = now
        }
        unservedAt.values.removeIf { now - it > LONGEST_RELEVANCE }
    }

    /** Records that every host knows the history with [number] at [now], so that no stream begins by earlier ones. */
    public fun recordKnownEverywhere(number: Long, now: MonotonicInstant): Unit = synchronized(lock) {
        if (history.number != number) return@synchronized
        appliesFrom = minOf(appliesFrom, now)
        // Another host may learn only later that all know it.
        replaced.values.filter { it.everywhereAt == null }.forEach { it.everywhereAt = now + SPREADING_TIME }
    }

    /**
     * The version of the stream that [stream] begins at [now], which only the regions [homes] may serve. A version that
     * has left gets none after the time in which other hosts notice that too, whether or not the store can be written.
     */
    public fun ofNewStream(stream: RequestId, homes: Set<RegionName>, now: MonotonicInstant): SoftwareVersion? {
        val (shares, left) = synchronized(lock) {
            applying(now) to unservedSince.filterValues { now - it >= SPREADING_TIME }.keys.toSet()
        }
        return shares.without(left).versionOf(stream, homes) ?: shares.versionOf(stream, homes)
    }

    /**
     * The version of the stream that the request [stream] began, at most [age] before [now]. Without [stream], it is
     * known only if a single version has served since. A host that may have missed changes knows of none.
     */
    public fun ofBegunStream(
        stream: RequestId?,
        homes: Set<RegionName>,
        age: StreamAge,
        now: MonotonicInstant,
    ): BegunStream {
        val possible = synchronized(lock) {
            if (now > currentAt + CURRENT_FOR) return BegunStream.Unknown
            replaced.values.removeIf { now - it.learnedAt > maxOf(age.longest, LONGEST_RELEVANCE) }
            (history.shares + replaced.keys).filter { it == history.inForce || mayHaveBegun(it, age, now) }
        }
        val versions = possible.flatMapTo(HashSet()) { shares ->
            if (stream == null) shares.versions else setOfNotNull(shares.versionOf(stream, homes))
        }
        val version = versions.singleOrNull() ?: return BegunStream.Unknown
        val hasOthers = possible.any { it.versions.size > 1 }
        return if (hasOthers && hadLeft(version, age, now)) BegunStream.Unknown else BegunStream.At(version)
    }

    /** Whether [version] had left when a stream of [age] may have begun, so that it began at another one. */
    private fun hadLeft(version: SoftwareVersion, age: StreamAge, now: MonotonicInstant): Boolean =
        synchronized(lock) { unservedAt[version]?.let { now - it <= (age.own ?: age.longest) } ?: false }

    /** Whether a stream of [age] may have begun by [shares], which were replaced. */
    private fun mayHaveBegun(shares: VersionShares, age: StreamAge, now: MonotonicInstant): Boolean {
        val replacement = replaced[shares] ?: return true
        val everywhereAt = replacement.everywhereAt
        if (everywhereAt != null && age.own != null) return now - everywhereAt <= age.own
        return shares in history.shares || now - replacement.learnedAt <= age.longest
    }

    /**
     * The history that should follow the present one, if the shares [counted] suit the replicas at [now]; null if the
     * present one still does. Replaced shares are dropped [relevance] after they were replaced.
     */
    public fun successor(counted: VersionShares, relevance: Duration, now: MonotonicInstant): VersionHistory? =
        synchronized(lock) {
            if (counted.versions.isEmpty()) return@synchronized null
            val isOver = { shares: VersionShares -> replaced[shares]?.let { now - it.learnedAt > relevance } ?: false }
            val missing = if (isStored) emptyList() else replaced.keys.filterNot(isOver) - history.shares.toSet()
            val complete = VersionHistory(history.number, missing + history.shares)
            when {
                history.number == 0L || !history.inForce.isNear(counted) ->
                    complete.without(isOver).with(counted, history)
                missing.isNotEmpty() || history.shares.dropLast(1).any(isOver) -> complete.without(isOver)
                else -> null
            }
        }

    private fun VersionHistory.with(next: VersionShares, before: VersionHistory): VersionHistory =
        VersionHistory(before.number, shares).with(next)

    private companion object {
        /** Replaced shares are forgotten after the longest time for which a manifest may let a stream last. */
        val LONGEST_RELEVANCE = 10.minutes

        /** The longest interval between two proofs at a host in touch: the wait of a watch, and some room. */
        val CURRENT_FOR = 5.seconds

        /** Time within which hosts in touch with the store learn of a change after one another. */
        val SPREADING_TIME = 400.milliseconds
    }
}
