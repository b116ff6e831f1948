/*
 * Reading of the requests of a connection, one at a time, within the host's memory and the callers' time limits.
 */

package org.buckthornwheel.forwarding.front

import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.memory.Reservation
import org.buckthornwheel.forwarding.limits.HostMemory
import org.buckthornwheel.forwarding.limits.Limit

/** A refusal of a request that was not read completely; [limit] is the limit on which it is refused, if any. */
internal class Refusal(val status: HttpResponseStatus, val limit: Limit?)

/** What a reader needs of its connection. */
internal interface ReadingConnection {
    /** Whether the connection can take the next request. */
    val mayRead: Boolean

    /** Called with a complete request. */
    fun onRequest(request: ArrivedRequest)

    /** Sends an informational response that asks for the body. */
    fun sendContinue()

    /** Refuses the request that is being read, and closes the connection. */
    fun refuse(refusal: Refusal)
}

/** Reads the requests of [connection] on [channel]. */
internal class RequestReader(
    private val channel: Channel,
    private val connection: ReadingConnection,
    private val limits: () -> InboundLimits,
    private val memory: HostMemory,
    headerBytes: Int,
) {
    private val clock = MonotonicClock.SYSTEM
    private val timer = ConnectionTimer(channel.eventLoop())
    private val undecoded = Reservation(memory.bodies)
    private var head = Reservation(memory.heads)
    private var body = Reservation(memory.bodies)
    private var assembler: RequestAssembler? = null
    private var isReadingHead = false
    private var awaitsMemory = false
    private var mustContinue = false
    private var isClosed = false
    private val pace = ReadPace(clock.now())
    private var bodyProgressAt = clock.now()
    private var bodyProgressSize = 0L

    val decoder: StrictRequestDecoder = StrictRequestDecoder(headerBytes) { mayDecode }
    val gate: ReadGate = ReadGate(channel, { isClosed }, ::afterBytes)

    /** Whether a part of a request has arrived. */
    val isReading: Boolean get() = assembler != null || isReadingHead

    /** Whether bytes of a further request have arrived, or may have arrived while reading was paused. */
    val hasFurtherBytes: Boolean get() = !isClosed && (gate.isPaused || decoder.hasUndecodedBytes)

    private val mayDecode: Boolean get() = !isClosed && !awaitsMemory && (assembler != null || connection.mayRead)

    /** Continues with what has arrived before, when the connection can take the next request. */
    fun resume() {
        if (isClosed) return
        decoder.resume()
        afterBytes(0)
    }

    /** Called with the head of the next request. */
    fun begin(request: HttpRequest) {
        if (!isReadingHead) pace.restart(clock.now())
        isReadingHead = false
        val permitted = limits()
        val length = HttpUtil.getContentLength(request, 0L)
        if (length > minOf(permitted.bodyBytes.toLong(), memory.bodies.largest)) return refuse(TOO_LONG)
        if (!head.tryResize(decoder.headCost)) return refuse(HEAD_MEMORY)
        body = Reservation(memory.bodies)
        assembler = RequestAssembler(request, permitted.bodyBytes, body)
        bodyProgressAt = clock.now()
        bodyProgressSize = 0
        awaitBody()
        mustContinue = HttpUtil.is100ContinueExpected(request)
        if (length > 0) {
            reserve(length)
        } else if (HttpUtil.isTransferEncodingChunked(request)) {
            reserveChunks()
        }
        if (!awaitsMemory) continueIfExpected()
    }

    /** Called with a part of the body. */
    fun add(content: HttpContent) {
        val collecting = assembler ?: return
        val size = collecting.size + content.content().readableBytes()
        if (size > body.bytes) body.resize(size)
        if (!collecting.add(content)) return refuse(TOO_LONG)
        if (content is LastHttpContent) return complete(collecting)
        if (size - bodyProgressSize >= MINIMUM_PROGRESS_BYTES) {
            bodyProgressAt = clock.now()
            bodyProgressSize = size
        }
        if (HttpUtil.isTransferEncodingChunked(collecting.head)) reserveChunks()
    }

    /** Gives back what is kept for the request that has ended. */
    fun endRequest() {
        head.close()
        head = Reservation(memory.heads)
    }

    /** Refuses the request that is being read if it arrives too slowly while others wait for memory. */
    fun relieve(now: MonotonicInstant) {
        if (!isReading || awaitsMemory) return
        if (pace.isSlow(now)) refuse(Refusal(HttpResponseStatus.REQUEST_TIMEOUT, Limit.SLOW_REQUEST))
    }

    /** Time of the last sufficient progress of the request that is being read. */
    val lastProgress: MonotonicInstant get() = pace.since

    /** Stops reading, and releases everything that is kept. */
    fun close() {
        if (isClosed) return
        isClosed = true
        timer.cancel()
        assembler?.discard()
        assembler = null
        isReadingHead = false
        undecoded.close()
        head.close()
        if (!channel.isActive) return
        gate.isPaused = false
        channel.pipeline().remove(decoder)
    }

    private fun complete(collecting: RequestAssembler) {
        assembler = null
        timer.cancel()
        body.resize(collecting.size)
        connection.onRequest(ArrivedRequest(collecting.head, collecting.takeBody(), clock.now()))
    }

    private fun afterBytes(received: Int) {
        if (isClosed) return
        pace.add(received)
        refusalForPartialHead()?.let { return refuse(it) }
        val hasPartialHead = decoder.partialCost > 0 || decoder.hasUndecodedBytes
        if (hasPartialHead && connection.mayRead && !isReading) {
            isReadingHead = true
            pace.restart(clock.now())
            timer.schedule(limits().headerTimeout) { refuse(TIMEOUT) }
        }
        gate.isPaused = awaitsMemory || !mayDecode && decoder.hasUndecodedBytes
    }

    /** Accounts for what is kept of incomplete heads and lines; the refusal if there is no memory for it. */
    private fun refusalForPartialHead(): Refusal? {
        val capacity = decoder.undecodedCapacity.toLong()
        if (!mayDecode) {
            undecoded.resize(capacity)
            return null
        }
        val cost = if (assembler == null) decoder.partialCost else decoder.headCost + decoder.partialCost
        return when {
            !undecoded.tryResize(capacity) -> BODY_MEMORY
            !head.tryResize(cost) -> HEAD_MEMORY
            else -> null
        }
    }

    private fun reserveChunks() {
        val size = assembler?.size ?: return
        if (size > 0 && body.bytes - size >= MINIMUM_ROOM_BYTES) return
        val total = size + if (size == 0L) FIRST_STEP_BYTES else STEP_BYTES
        if (total > memory.bodies.largest + STEP_BYTES) return refuse(TOO_LONG)
        reserve(maxOf(body.bytes, minOf(total, memory.bodies.largest)))
    }

    private fun reserve(total: Long) {
        val loop = channel.eventLoop()
        if (body.resizeOrWait(total) { loop.execute(::onMemory) }) return
        awaitsMemory = true
        timer.schedule(limits().headerTimeout) { refuse(BODY_MEMORY) }
    }

    private fun onMemory() {
        if (isClosed || !awaitsMemory) return
        awaitsMemory = false
        bodyProgressAt = clock.now()
        pace.restart(bodyProgressAt)
        awaitBody()
        continueIfExpected()
        resume()
    }

    private fun continueIfExpected() {
        if (!mustContinue) return
        mustContinue = false
        connection.sendContinue()
    }

    /** The time limit begins again whenever a further part of the body has arrived, so that long bodies may be slow. */
    private fun awaitBody() {
        val limit = limits().idleTimeout
        val left = limit - (clock.now() - bodyProgressAt)
        if (!left.isPositive()) return refuse(TIMEOUT)
        timer.schedule(left, ::awaitBody)
    }

    private fun refuse(refusal: Refusal): Unit = connection.refuse(refusal)

    private companion object {
        val TIMEOUT = Refusal(HttpResponseStatus.REQUEST_TIMEOUT, null)
        val TOO_LONG = Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, Limit.BODY_LENGTH)
        val HEAD_MEMORY = Refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Limit.HEAD_MEMORY)
        val BODY_MEMORY = Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, Limit.BODY_MEMORY)

        /** Part of a body that has to arrive within the idle time limit. */
        const val MINIMUM_PROGRESS_BYTES = 1_024

        /** Reservations for bodies of unknown length. */
        const val FIRST_STEP_BYTES = 16_384L
        const val STEP_BYTES = 49_152L

        /** Room for which no further reservation is made; half of the buffer of a read. */
        const val MINIMUM_ROOM_BYTES = 8_192
    }
}
