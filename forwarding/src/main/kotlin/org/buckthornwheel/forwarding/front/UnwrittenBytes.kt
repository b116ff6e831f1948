package org.buckthornwheel.forwarding.front

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.memory.MemoryBudget
import org.buckthornwheel.decision.memory.Reservation
import kotlin.time.Duration

/** The bytes of responses that the receiver on [channel] has not read, accounted for in [budget]. */
internal class UnwrittenBytes(
    private val channel: Channel,
    private val budget: MemoryBudget,
    private val onProgress: () -> Unit,
) {
    private val reservation = Reservation(budget)

    /** Written bytes are subtracted from the channel's pending ones only after its listeners were called. */
    private val listener = ChannelFutureListener { channel.eventLoop().execute(::onWritten) }
    private var checkedAt: MonotonicInstant? = null
    private var checkedProgress = 0L

    private val pending: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Whether more may be written: less than the write buffer is unread, and nothing while memory is short. */
    val mayWrite: Boolean get() = channel.isWritable && (reservation.bytes == 0L || !budget.isExhausted)

    /** Called after each write. */
    fun written(future: ChannelFuture) {
        update()
        if (reservation.bytes > 0) future.addListener(listener)
    }

    /** Whether the receiver has read nothing for at least [limit]. */
    fun hasStalled(now: MonotonicInstant, limit: Duration): Boolean {
        val buffer = channel.unsafe().outboundBuffer() ?: return false
        val progress = buffer.currentProgress() - buffer.totalPendingWriteBytes()
        val since = checkedAt
        if (buffer.isEmpty || since == null || progress != checkedProgress) {
            checkedProgress = progress
            checkedAt = if (buffer.isEmpty) null else now
            return false
        }
        return now - since >= limit
    }

    fun close(): Unit = reservation.close()

    private fun onWritten() {
        update()
        onProgress()
    }

    private fun update(): Unit = reservation.resize(pending)
}
