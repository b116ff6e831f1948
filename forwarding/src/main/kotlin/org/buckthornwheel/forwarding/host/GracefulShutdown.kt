package org.buckthornwheel.forwarding.host

import io.netty.channel.EventLoopGroup
import io.netty.util.concurrent.Future
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.shutdown.ShutdownAdmission
import org.buckthornwheel.forwarding.exchange.HostShutdown
import org.buckthornwheel.forwarding.front.InboundConnections
import org.buckthornwheel.forwarding.listener.OpenListener
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The end of an entry host: serves callers until the directory's responses that name the host have expired, then closes
 * its connections as they become idle, within the grace period of [settings].
 */
internal class GracefulShutdown(
    private val settings: EntryHostSettings,
    private val shutdown: HostShutdown,
    private val connections: List<InboundConnections>,
    private val listeners: List<OpenListener>,
    private val loops: EventLoopGroup,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    /** Runs the shutdown, and returns when the process may end; [announce] tells the other hosts. */
    fun run(announce: () -> Unit) {
        val begin = clock.now()
        val directoryExpiresAt = begin + settings.directoryTimeToLive + DRAIN_SLACK
        val answersEndAt = begin + (settings.shutdownGrace - FINAL_ANSWERS_TIME)
        shutdown.begin(ShutdownAdmission(directoryExpiresAt, stopsAt = answersEndAt))
        log.write(LogPart.HOST, "stopping") { put("connections", numberOfConnections()) }
        announce()
        pollUntil(begin + (settings.shutdownGrace - LAST_REQUESTS_TIME)) {
            if (clock.now() >= directoryExpiresAt) closeIdleConnections(minimumIdle = REQUEST_ARRIVAL_TIME)
            clock.now() >= directoryExpiresAt && numberOfConnections() == 0
        }
        closeListeners(answersEndAt)
        pollUntil(answersEndAt) {
            closeIdleConnections(minimumIdle = LAST_REQUEST_ARRIVAL_TIME)
            numberOfConnections() == 0
        }
        endConnections(begin + settings.shutdownGrace)
        log.write(LogPart.HOST, "stopped") {
            put("connections", numberOfConnections())
            put("milliseconds", (clock.now() - begin).inWholeMilliseconds)
        }
    }

    /** Closes the listeners; waits until the connections that they accepted are counted, but at most until [end]. */
    private fun closeListeners(end: MonotonicInstant) {
        awaitAll(listeners.map(OpenListener::acceptAllAndClose), end)
        // Each event loop registers its new connections in a task that the listener submitted before.
        awaitAll(loops.map { it.submit {} }, end)
    }

    private fun awaitAll(tasks: List<Future<*>>, end: MonotonicInstant): Unit = tasks.forEach { task ->
        task.awaitUninterruptibly(maxOf(Duration.ZERO, end - clock.now()).inWholeMilliseconds)
    }

    /** Answers what is still in progress, and waits until the callers have closed, but at most until [end]. */
    private fun endConnections(end: MonotonicInstant) {
        // A place that one of these requests leaves must not be taken by one that waits on another event loop.
        shutdown.end()
        connections.forEach { it.onHostEnd() }
        pollUntil(end) { numberOfConnections() == 0 }
    }

    /** Waits until [isDone], but at most until [end]. */
    private fun pollUntil(end: MonotonicInstant, isDone: () -> Boolean) {
        while (clock.now() < end && !isDone()) Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
    }

    private fun closeIdleConnections(minimumIdle: Duration): Unit = connections.forEach { it.closeIdle(minimumIdle) }

    private fun numberOfConnections(): Int = connections.sumOf { it.size }

    private companion object {
        val POLL_INTERVAL = 50.milliseconds

        /** Time within which a request follows the connection or the last response; several round trips. */
        val REQUEST_ARRIVAL_TIME = 500.milliseconds

        /** End of the grace period, in which no connections are accepted and the last requests are completed. */
        val LAST_REQUESTS_TIME = 400.milliseconds

        /** Same as [REQUEST_ARRIVAL_TIME] in the last part of the grace period; a round trip between regions. */
        val LAST_REQUEST_ARRIVAL_TIME = 150.milliseconds

        /** End of the grace period, in which the final answers reach the callers. */
        val FINAL_ANSWERS_TIME = 150.milliseconds

        /** Time for requests that are still in transit when the directory responses have expired. */
        val DRAIN_SLACK = 500.milliseconds
    }
}
