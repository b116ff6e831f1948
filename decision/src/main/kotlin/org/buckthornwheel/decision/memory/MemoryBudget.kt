package org.buckthornwheel.decision.memory

/**
 * An account of memory, in bytes: what is kept is reserved before, so that reservations are refused or wait before an
 * allocation fails.
 *
 * Reservations of at most [smallBytes] may use all of the [capacity], larger ones leave [reserve] bytes free, so that
 * large requests do not keep out short ones. Larger reservations that wait are granted in the order of their arrival.
 */
public class MemoryBudget(public val capacity: Long, private val reserve: Long = 0, private val smallBytes: Long = 0) {
    private class Waiter(val reservation: Reservation, val total: Long, val onGranted: () -> Unit)

    private val lock = Any()
    private val waiters = ArrayDeque<Waiter>()
    private var heldBytes = 0L
    private var wasShort = false

    /** Bytes that are reserved at present; more than [capacity] if bytes were recorded that existed already. */
    public val held: Long get() = synchronized(lock) { heldBytes }

    /** Largest reservation that can be granted. */
    public val largest: Long get() = maxOf(capacity - reserve, minOf(smallBytes, capacity))

    /** Whether no bytes are left. */
    public val isExhausted: Boolean get() = held >= capacity

    /** Whether a reservation was refused or had to wait since the last call, or still waits. */
    public fun takeShortage(): Boolean = synchronized(lock) {
        (wasShort || waiters.isNotEmpty()).also { wasShort = false }
    }

    internal fun tryResize(reservation: Reservation, total: Long): Boolean = synchronized(lock) {
        val mayGrow = fits(total, total - reservation.bytes)
        if (mayGrow) set(reservation, total) else wasShort = true
        mayGrow
    }

    internal fun resizeOrWait(reservation: Reservation, total: Long, onGranted: () -> Unit): Boolean =
        synchronized(lock) {
            val mustQueue = total > smallBytes && waiters.isNotEmpty()
            val isGranted = !mustQueue && tryResize(reservation, total)
            if (!isGranted) {
                wasShort = true
                waiters.addLast(Waiter(reservation, total, onGranted))
            }
            isGranted
        }

    internal fun resize(reservation: Reservation, total: Long) {
        val isSmaller = synchronized(lock) {
            val change = total - reservation.bytes
            set(reservation, total)
            if (change > 0 && heldBytes > capacity) wasShort = true
            change < 0
        }
        if (isSmaller) grantWaiters()
    }

    internal fun cancelWait(reservation: Reservation) {
        val wasWaiting = synchronized(lock) { waiters.removeAll { it.reservation === reservation } }
        if (wasWaiting) grantWaiters()
    }

    private fun set(reservation: Reservation, total: Long) {
        heldBytes += total - reservation.bytes
        reservation.bytes = total
    }

    private fun fits(total: Long, additional: Long): Boolean {
        val limit = if (total <= smallBytes) capacity else capacity - reserve
        return heldBytes + additional <= limit
    }

    /** Called without the lock, since [Waiter.onGranted] may reserve as well. */
    private fun grantWaiters() {
        while (true) {
            val granted = synchronized(lock) { takeFirstThatFits() } ?: return
            granted.onGranted()
        }
    }

    private fun takeFirstThatFits(): Waiter? {
        val first = waiters.firstOrNull() ?: return null
        if (!fits(first.total, first.total - first.reservation.bytes)) return null
        set(first.reservation, first.total)
        return waiters.removeFirst()
    }
}
