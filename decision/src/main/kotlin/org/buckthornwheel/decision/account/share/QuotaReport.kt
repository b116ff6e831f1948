/*
 * What hosts tell each other about the use of limits that they share.
 *
 * Counters are cumulative, so that a lost report is made up for by the next one. Accounts and runs of replicas are
 * named by a hash, which is shorter than most names; two with the same hash would count against each other.
 */

package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.routing.HashMixing

/**
 * Use of one limit at the reporting host.
 *
 * @property key hash of the account's name or the replica's run, see [AccountHash] and [ReplicaRunHash].
 * @property used units admitted since the host started to count.
 * @property demand units a second that callers recently asked for, admitted or not.
 */
public data class ReportedUse(public val key: Long, public val used: Long, public val demand: Long)

/**
 * Use of some limits at the reporting host; limits that are not listed have changed little.
 *
 * @property sequence number of the report; a higher one is newer.
 */
public data class QuotaReport(public val sequence: Long, public val uses: List<ReportedUse>) {
    /** What depends on the budget of heartbeats. */
    public companion object {
        /** Bytes of one reported use. */
        private const val BYTES = 12

        /** Bytes a second that a host spends on reports. */
        private const val BYTES_PER_SECOND = 2_000
        private const val ROUNDS_PER_SECOND = 4

        /** The number of accounts that a round may report to [receivers] hosts; less than 1 for one in some rounds. */
        public fun usesPerRound(receivers: Int): Double =
            BYTES_PER_SECOND.toDouble() / (BYTES * ROUNDS_PER_SECOND * maxOf(1, receivers))

        /** The report for a receiver that was sent neither the [former] round's nor the [newest]; null for nothing. */
        public fun merged(former: QuotaReport?, newest: QuotaReport?): QuotaReport? {
            if (former == null || newest == null) return newest ?: former
            val again = newest.uses.mapTo(HashSet()) { it.key }
            return QuotaReport(newest.sequence, newest.uses + former.uses.filter { it.key !in again })
        }
    }
}

/** Hashes of account names. */
public object AccountHash {
    /** The hash of [account], a number of 32 bits. */
    public fun of(account: AccountName): Long = ShortHash.of(account.value, account.value.length.toLong())
}

/** Hashes of runs of replicas. */
public object ReplicaRunHash {
    /** The hash of [run], a number of 32 bits. */
    public fun of(run: ReplicaRun): Long = ShortHash.of(run.replica.value, run.startedAt)
}

private object ShortHash {
    private const val BITS = 32
    private const val MULTIPLIER = 31L

    fun of(text: String, number: Long): Long {
        val folded = text.fold(0L) { hash, character -> hash * MULTIPLIER + character.code }
        return HashMixing.mix(folded, number) ushr (Long.SIZE_BITS - BITS)
    }
}
