package org.buckthornwheel.forwarding.front

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The one time limit that runs for a connection or its request at a time, on [loop]. */
internal class ConnectionTimer(private val loop: EventLoop) {
    private var running: ScheduledFuture<*>? = null

    /** Replaces the running time limit by one that calls [action] after [limit]. */
    fun schedule(limit: Duration, action: () -> Unit) {
        cancel()
        running = loop.schedule(action, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    fun cancel() {
        running?.cancel(false)
        running = null
    }
}
