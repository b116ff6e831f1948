package org.buckthornwheel.forwarding.exchange

/** The attempts of one request that are in progress: one, or two if a late one was hedged. Used on one event loop. */
internal class RunningAttempts {
    private val running = ArrayList<Attempt>(1)

    /** Whether no attempt is in progress. */
    val isEmpty: Boolean get() = running.isEmpty()

    fun add(attempt: Attempt) {
        running += attempt
    }

    /** Records that [attempt] has ended. */
    fun remove(attempt: Attempt) {
        running -= attempt
    }

    /** Whether [attempt] is the only one in progress. */
    fun isOnly(attempt: Attempt): Boolean = running.singleOrNull() === attempt

    /** Cancels all attempts but [winner], whose response the caller gets. */
    fun keepOnly(winner: Attempt) {
        if (isOnly(winner)) return
        val others = running.filter { it !== winner }
        running -= others.toSet()
        others.forEach(Attempt::cancel)
    }

    fun cancelAll() {
        val all = running.toList()
        running.clear()
        all.forEach(Attempt::cancel)
    }

    /** Resumes or pauses reading from the targets. */
    fun setReading(reads: Boolean): Unit = running.toList().forEach { it.setReading(reads) }
}
