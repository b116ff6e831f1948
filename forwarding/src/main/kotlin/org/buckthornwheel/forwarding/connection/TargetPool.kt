/*
 * Pool of keep-alive connections to targets.
 *
 * Each event loop has its own pool, so that a proxied request and its connections stay on one thread.
 */

package org.buckthornwheel.forwarding.connection

import io.netty.bootstrap.Bootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.decision.attempt.IdleLimit
import org.buckthornwheel.decision.attempt.IdleTimeoutEstimate
import org.buckthornwheel.decision.memory.MemoryBudget
import org.buckthornwheel.forwarding.listener.KeepAliveOptions
import java.net.BindException
import java.net.ConnectException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Key of pooled connections; [owner] distinguishes targets that used the same address one after the other, and
 * [startedAt], in Unix milliseconds, the runs of one target.
 */
internal data class TargetKey(val address: NetworkAddress, val owner: String, val startedAt: Long = 0)

/**
 * The pool of [loop]; responses are buffered within [responseMemory], and [onOpened] is called for each new connection.
 * Connections to targets that are [isLeaving] are not kept open.
 *
 * @param onSignOfEnd called when the process of a target may have ended: no connection to it could be
 *   established, or it closed one that carried a request, or the oldest one.
 */
internal class TargetPool(
    val loop: EventLoop,
    val responseMemory: MemoryBudget,
    private val onOpened: () -> Unit,
    private val isLeaving: (TargetKey) -> Boolean = { false },
    private val onSignOfEnd: (TargetPool, TargetKey, SignOfEnd) -> Unit = { _, _, _ -> },
) {
    private val clock = MonotonicClock.SYSTEM
    private val limit = IdleLimit(DEFAULT_IDLE_TIMEOUT - IDLE_MARGIN)
    private val idle = HashMap<TargetKey, ArrayDeque<TargetConnection>>()

    /** The open connections, from the oldest to the newest. */
    private val connections = HashMap<TargetKey, LinkedHashSet<TargetConnection>>()
    private val idleTimeouts = HashMap<TargetKey, IdleTimeoutEstimate>()

    /** Calls [use] with an open connection, or [fail] with the reason if none can be opened. */
    fun acquire(key: TargetKey, use: (TargetConnection) -> Unit, fail: (ConnectFailure) -> Unit) {
        val pooled = takeIdle(key)
        if (pooled != null) return use(pooled)
        open(key, use, fail)
    }

    fun release(connection: TargetConnection) {
        val now = clock.now()
        connection.idleSince = now
        if (!isUsable(connection, now)) {
            connection.close()
            return
        }
        idle.getOrPut(connection.key) { ArrayDeque() }.addLast(connection)
    }

    /**
     * Whether a connection that broke off before a response began had probably been dropped by the target after it was
     * idle for [idle]. If so, the idle limit of the pool is reduced.
     */
    fun isStale(idle: Duration): Boolean = limit.recordLoss(idle, clock.now())

    /** Called when the target or the network closed [connection], which carried a request if it [isBusy]. */
    fun onLost(connection: TargetConnection, isBusy: Boolean) {
        val isOldest = connections[connection.key]?.firstOrNull() === connection
        if (!isBusy && (!isOldest || isTimeout(connection))) return
        onSignOfEnd(this, connection.key, SignOfEnd("connection lost"))
    }

    /** Whether the target probably closed the idle [connection] after its idle timeout. */
    private fun isTimeout(connection: TargetConnection): Boolean {
        val now = clock.now()
        val idle = now - (connection.idleSince ?: return false)
        return idleTimeouts.getOrPut(connection.key, ::IdleTimeoutEstimate).recordLoss(idle, now)
    }

    fun remove(connection: TargetConnection) {
        idle[connection.key]?.remove(connection)
        val opened = connections[connection.key] ?: return
        opened.remove(connection)
        if (opened.isEmpty()) connections.remove(connection.key)
    }

    /** Closes connections that were idle for too long. */
    fun closeIdle() {
        val now = clock.now()
        idle.values.forEach { list ->
            val old = list.filterNot { isUsable(it, now) }
            list.removeAll(old)
            old.forEach { it.close() }
        }
        idle.values.removeIf { it.isEmpty() }
        idleTimeouts.values.removeIf { it.isOutdated(now) }
    }

    /** The most recently used connection, since it is the least likely to have been closed by the target. */
    fun takeIdle(key: TargetKey): TargetConnection? {
        val list = idle[key] ?: return null
        val now = clock.now()
        while (list.isNotEmpty()) {
            val newest = list.removeLast()
            if (newest.isOpen && isUsable(newest, now)) return newest
            newest.close()
        }
        return null
    }

    private fun isUsable(connection: TargetConnection, now: MonotonicInstant): Boolean {
        if (isLeaving(connection.key)) return false
        val idleFor = connection.idleSince?.let { now - it } ?: return true
        val announced = connection.announcedIdle ?: return idleFor < limit.at(now)
        return idleFor < minOf(announced - IDLE_MARGIN, limit.at(now))
    }

    private fun open(key: TargetKey, use: (TargetConnection) -> Unit, fail: (ConnectFailure) -> Unit) {
        onOpened()
        val startedAt = clock.now()
        var connection: TargetConnection? = null
        val bootstrap = Bootstrap().group(loop).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, RESPONSE_BUFFERS)
        KeepAliveOptions.set { option, value -> bootstrap.option(option, value) }
        bootstrap.handler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val decoder = ResponseDecoder()
                val handler = TargetConnection(channel, this@TargetPool, key, decoder)
                connection = handler
                channel.pipeline().addLast(HttpRequestEncoder(), decoder, handler)
            }
        })
        bootstrap.connect(InetSocketAddress(key.address.host, key.address.port)).addListener(
            ChannelFutureListener { future ->
                val opened = connection
                if (future.isSuccess && opened != null) {
                    connections.getOrPut(key) { LinkedHashSet() }.add(opened)
                    use(opened)
                } else {
                    // Without a channel or a port of its own, the host has not asked the target anything.
                    val isOwnFault = opened == null || future.cause() is BindException
                    val failure = connectFailure(future.cause())
                    val absentAt = startedAt.takeIf { failure.isRefused }
                    if (!isOwnFault) onSignOfEnd(this@TargetPool, key, SignOfEnd("connect failed", absentAt))
                    fail(failure)
                }
            },
        )
    }

    private fun connectFailure(cause: Throwable?): ConnectFailure = ConnectFailure(
        "connect failed: $cause",
        isRefused =
        cause is ConnectException && cause !is ConnectTimeoutException,
    )

    private companion object {
        /** Buffers of single reads; reading may pause after each. */
        val RESPONSE_BUFFERS = AdaptiveRecvByteBufAllocator(64, 2_048, 16_384)

        /** Callers allow one second for a connection; a target of the same region responds within milliseconds. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 600

        /** Idle timeout of connections whose target announces none. */
        val DEFAULT_IDLE_TIMEOUT = 8.seconds

        /** Subtracted from the announced idle timeout, so that the target does not close the connection first. */
        val IDLE_MARGIN = 500.milliseconds
    }
}
