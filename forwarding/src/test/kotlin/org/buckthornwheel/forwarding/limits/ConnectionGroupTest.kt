package org.buckthornwheel.forwarding.limits

import io.netty.channel.embedded.EmbeddedChannel
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

internal class ConnectionGroupTest {
    private var now = NANOSECONDS_PER_SECOND
    private val group =
        ConnectionGroup<Connection>(MAXIMUM, LimitLog(DecisionLog("host-1")), 500.milliseconds) {
            MonotonicInstant(now)
        }
    private val listener = EmbeddedChannel().also { group.listener = it }
    private val evicted = ArrayList<String>()

    private inner class Connection(val name: String, override var standing: ConnectionStanding?, progress: Long = 0) :
        EvictableConnection {
        override val lastProgress = MonotonicInstant(progress)

        override fun evict() {
            evicted += name
            group.closed(this)
        }
    }

    @Test
    fun `unfinished requests are closed first, then the connections that were idle for longest`() {
        group.opened(Connection("idle for long", ConnectionStanding.IDLE, progress = 1))
        group.opened(Connection("idle", ConnectionStanding.IDLE, progress = 2))
        group.opened(Connection("busy", null))
        group.opened(Connection("unfinished", ConnectionStanding.UNFINISHED, progress = 3))
        group.opened(Connection("unused", ConnectionStanding.UNUSED, progress = 4))
        group.opened(Connection("further", ConnectionStanding.UNUSED, progress = 5))
        group.opened(Connection("last", ConnectionStanding.IDLE, progress = 6))
        expectThat(evicted).containsExactly("unfinished", "unused", "further")
    }

    /** A connection was closed before its request could arrive, since all others were busy. */
    @Test
    fun `new connections are not closed while a request may be arriving`() {
        repeat(MAXIMUM + 1) { group.opened(Connection("c$it", ConnectionStanding.UNUSED, progress = now)) }
        expectThat(evicted).isEmpty()
        now += NANOSECONDS_PER_SECOND
        group.relieve()
        expectThat(group.size).isLessThanOrEqualTo(MAXIMUM)
    }

    /** The listener stayed paused after the requests had ended. */
    @Test
    fun `accepting pauses while all connections are busy, and goes on when they are idle`() {
        val busy = List(2 * MAXIMUM + 8) { Connection("c$it", null).also(group::opened) }
        expectThat(listener.config().isAutoRead).isFalse()
        group.relieve()
        expectThat(listener.config().isAutoRead).isFalse()
        busy.forEach { it.standing = ConnectionStanding.IDLE }
        group.relieve()
        expectThat(listener.config().isAutoRead).isTrue()
        expectThat(group.size).isLessThanOrEqualTo(MAXIMUM)
    }

    private companion object {
        const val MAXIMUM = 4
        const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
