package org.buckthornwheel.decision.memory

/** Bytes that one owner has reserved in [budget]. They are given back once, when it is closed. */
public class Reservation(private val budget: MemoryBudget) : AutoCloseable {
    private var isClosed = false

    /** Number of reserved bytes. */
    public var bytes: Long = 0
        internal set

    /** Changes the reservation to [total] bytes if the budget permits; returns whether it did. */
    public fun tryResize(total: Long): Boolean {
        if (isClosed) return false
        if (total > bytes) return budget.tryResize(this, total)
        resize(total)
        return true
    }

    /**
     * Changes the reservation to [total] bytes and returns true if the budget permits. Otherwise, [onGranted] is called
     * when it does, on any thread, unless the reservation was closed before.
     */
    public fun resizeOrWait(total: Long, onGranted: () -> Unit): Boolean =
        !isClosed && budget.resizeOrWait(this, total, onGranted)

    /** Records that [total] bytes are kept already, whether the budget permits them or not. */
    public fun resize(total: Long) {
        if (!isClosed && total != bytes) budget.resize(this, total)
    }

    /** Gives all bytes back; has no effect after the first call. */
    override fun close() {
        if (isClosed) return
        budget.cancelWait(this)
        budget.resize(this, 0)
        isClosed = true
    }
}
