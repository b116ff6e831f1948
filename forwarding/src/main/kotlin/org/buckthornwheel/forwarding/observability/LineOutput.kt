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
 * Writes lines to [stream] by a thread of its own, so that those who log never wait.
 *
 * Lines that come while [capacity] others wait are dropped and counted.
 */
internal class LineOutput(private val stream: OutputStream, capacity: Int = CAPACITY) {
    private val waiting = ArrayBlockingQueue<String>(capacity)
    private val droppedLines = AtomicLong()

    /** Lines that were taken and are not written yet, those in the writer's hands included. */
    private val unwritten = AtomicLong()

    /** Lines that were dropped since the start. */
    val dropped: Long get() = droppedLines.get()

    init {
        thread(name = "log", isDaemon = true) { writeAll() }
    }

    /** Takes [line] unless too many wait. */
    fun add(line: String) {
        unwritten.incrementAndGet()
        if (waiting.offer(line)) return
        unwritten.decrementAndGet()
        droppedLines.incrementAndGet()
    }

    /** Waits until the lines are written, [limit] at most. */
    fun flush(limit: Duration) {
        val end = System.nanoTime() + limit.inWholeNanoseconds
        while (unwritten.get() > 0 && System.nanoTime() < end) Thread.sleep(1)
    }

    private fun writeAll() {
        val batch = ArrayList<String>()
        while (true) {
            val first = waiting.poll(IDLE_SECONDS, TimeUnit.SECONDS) ?: continue
            batch += first
            waiting.drainTo(batch, MAXIMUM_BATCH_LINES)
            write(batch)
            unwritten.addAndGet(-batch.size.toLong())
            batch.clear()
        }
    }

    /** A closed output cannot be reported anywhere; the lines count as dropped. */
    private fun write(batch: List<String>) {
        try {
            stream.write(batch.joinToString("\n", postfix = "\n").encodeToByteArray())
            stream.flush()
        } catch (_: IOException) {
            droppedLines.addAndGet(batch.size.toLong())
        }
    }

    companion object {
        /** Lines that wait at most: a second of a busy host, about a megabyte. */
        private const val CAPACITY = 4_096
        private const val MAXIMUM_BATCH_LINES = 256
        private const val IDLE_SECONDS = 60L

        /** The process's standard output. */
        val STANDARD: LineOutput by lazy { LineOutput(FileOutputStream(FileDescriptor.out)) }
    }
}
