package org.buckthornwheel.forwarding.observability

import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * Writes lines to [stream] on a separate thread, so that logging never blocks.
 *
 * Lines are dropped and counted while the queue already holds [capacity] lines.
 */
internal class LineOutput(private val stream: OutputStream, capacity: Int = CAPACITY) {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()

    /** Number of lines that were accepted but are not written yet, including the batch being written. */
    private val unwritten = AtomicLong()

    /** Number of lines that were dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    init {
        thread(name = "log", isDaemon = true) { writeAll() }
    }

    /** Queues [line], or drops it if the queue is full. */
    fun add(line: String) {
        unwritten.incrementAndGet()
        if (queue.offer(line)) return
        unwritten.decrementAndGet()
        droppedLines.incrementAndGet()
    }

    /** Waits until all lines are written, but at most [limit]. */
    fun flush(limit: Duration) {
        val end = System.nanoTime() + limit.inWholeNanoseconds
        while (unwritten.get() > 0 && System.nanoTime() < end) Thread.sleep(1)
    }

    private fun writeAll() {
        val batch = ArrayList<String>()
        while (true) {
            val first = queue.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS) ?: continue
            batch += first
            queue.drainTo(batch, MAXIMUM_BATCH_LINES)
            write(batch)
            unwritten.addAndGet(-batch.size.toLong())
            batch.clear()
        }
    }

    /** Writes [batch]; if the output is closed, which cannot be reported anywhere, the lines count as dropped. */
    private fun write(batch: List<String>) {
        try {
            stream.write(batch.joinToString("\n", postfix = "\n").encodeToByteArray())
            stream.flush()
        } catch (_: IOException) {
            droppedLines.addAndGet(batch.size.toLong())
        }
    }

    companion object {
        /** Maximum number of queued lines: one second of a busy host, about one megabyte. */
        private const val CAPACITY = 4_096
        private const val MAXIMUM_BATCH_LINES = 256
        private const val POLL_TIMEOUT_SECONDS = 60L

        /** Writes to standard output. */
        val STANDARD: LineOutput by lazy { LineOutput(FileOutputStream(FileDescriptor.out)) }
    }
}
