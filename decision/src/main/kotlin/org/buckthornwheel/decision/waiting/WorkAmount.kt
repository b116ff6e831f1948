package org.buckthornwheel.decision.waiting

/** A number of requests and their work, which is counted in tokens or, without tokens, in requests. */
internal data class WorkAmount(val requests: Double, val work: Double) {
    operator fun plus(other: WorkAmount): WorkAmount = WorkAmount(requests + other.requests, work + other.work)

    operator fun minus(other: WorkAmount): WorkAmount = WorkAmount(requests - other.requests, work - other.work)

    companion object {
        val NONE = WorkAmount(0.0, 0.0)
    }
}

/**
 * What all accounts together start while one of them starts a share of work.
 *
 * Sorted by backlog, with sums over the smaller and the larger ones, so that a review of many waiting requests takes
 * few steps for each.
 *
 * @param backlogs number of requests and work of each account.
 */
internal class AccountShares(backlogs: List<Pair<Int, Long>>) {
    private val sorted = backlogs.sortedBy { it.second }
    private val smaller = sorted.runningFold(WorkAmount.NONE) { sum, (requests, work) ->
        sum + WorkAmount(requests.toDouble(), work.toDouble())
    }
    private val requestsPerWork = sorted.asReversed().runningFold(0.0) { sum, (requests, work) ->
        sum +
            requests / work.toDouble()
    }

    fun startedWithin(share: Double): WorkAmount {
        val index = sorted.binarySearch { if (it.second <= share) -1 else 1 }.let { -it - 1 }
        val larger = sorted.size - index
        return smaller[index] + WorkAmount(requestsPerWork[larger] * share, larger * share)
    }
}
