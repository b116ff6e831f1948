package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.seconds

/**
 * Use of one account at another host, as it was last told. Not thread-safe.
 *
 * A silent host is assumed to use the share that it had when it was last heard, since it may be cut off and serving.
 * What was assumed is replaced by what it tells when it is heard again.
 */
internal class RemoteUse(private var used: Long, demand: Long, private var toldAt: MonotonicInstant) {

    /** Units that it is assumed to have used while it was silent. */
    var assumed: Double = 0.0
        private set

    /** Units a second that callers asked of it when it last told. */
    var toldDemand: Long = demand
        private set

    private var averageShare = 0.0
    private var isAssumed = false

    /** Its demand; zero if it was heard at [heardAt] but has not told of the account for a while. */
    fun demand(heardAt: MonotonicInstant): Double =
        if (heardAt - toldAt > FORGOTTEN_AFTER) 0.0 else toldDemand.toDouble()

    /** Records its [share] of the demand in a round in which it is heard. */
    fun recordShare(share: Double) {
        averageShare += SHARE_WEIGHT * (share - averageShare)
        isAssumed = false
    }

    /**
     * Assumes that it used its share of the [refilled] units of a round and, in the first round in which it is silent,
     * of those that were [available] since it was heard. Returns the share.
     */
    fun assumeSilent(refilled: Double, available: Double): Double {
        assumed += averageShare * if (isAssumed) refilled else available
        isAssumed = true
        return averageShare
    }

    /** Records a newer report, and returns the units that it adds to what was known or assumed. */
    fun update(report: ReportedUse, now: MonotonicInstant): Double {
        val added = if (report.used >= used) (report.used - used).toDouble() else firstUse(report)
        val corrected = added - assumed
        assumed = 0.0
        used = report.used
        toldDemand = report.demand
        toldAt = now
        return corrected
    }

    companion object {
        /** Weight of a round; over several seconds, both sides of a partition know nearly the same shares. */
        const val SHARE_WEIGHT = 0.05

        /** Time without a report of the account after which a host that is heard has no demand. */
        private val FORGOTTEN_AFTER = 6.seconds

        /** The units that a first report adds: what was used longer ago has been refilled since. */
        fun firstUse(report: ReportedUse): Double = minOf(report.used, report.demand).toDouble()
    }
}
