package org.buckthornwheel.forwarding.observability

import kotlinx.serialization.json.put
import org.buckthornwheel.forwarding.fixture.awaitUntil
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import java.util.logging.Level
import java.util.logging.Logger
import kotlin.time.Duration.Companion.seconds

internal class LineOutputTest {
    @Test
    fun `lines are written in order`() {
        val written = ByteArrayOutputStream()
        val output = LineOutput(written)
        repeat(3) { output.add("line $it") }
        output.flush(5.seconds)
        expectThat(written.toString()).isEqualTo("line 0\nline 1\nline 2\n")
    }

    @Test
    fun `a line names the host and the part`() {
        val written = ByteArrayOutputStream()
        val log = DecisionLog("host-1", LineOutput(written))
        log.write(LogPart.REQUEST, "sent") { put("request", "q1") }
        log.flush(5.seconds)
        expectThat(written.toString())
            .contains(""""host":"host-1","part":"request","event":"sent","request":"q1"}""")
    }

    @Test
    fun `warnings of libraries are written as lines`() {
        val written = ByteArrayOutputStream()
        val log = DecisionLog("host-1", LineOutput(written))
        LibraryLog.install(log)
        Logger.getLogger("some.library").log(Level.WARNING, "pool exhausted")
        Logger.getLogger("some.library").log(Level.INFO, "pool grows")
        log.flush(5.seconds)
        expectThat(written.toString().lines().count { it.isNotEmpty() }).isEqualTo(1)
        expectThat(written.toString()).contains(""""logger":"some.library","message":"pool exhausted"""")
    }

    @Nested
    inner class `given an output that blocks` {
        private val release = CountDownLatch(1)
        private val blocked = object : OutputStream() {
            override fun write(byte: Int) = release.await()

            override fun write(bytes: ByteArray, offset: Int, length: Int) = release.await()
        }

        @Test
        fun `logging does not block, and dropped lines are counted`() {
            val output = LineOutput(blocked, capacity = 10)
            repeat(1_000) { output.add("line $it") }
            expectThat(output.dropped >= 1_000 - 10 - 257).isEqualTo(true)
            release.countDown()
        }
    }

    @Test
    fun `lines for a closed output count as dropped`() {
        val closed = object : OutputStream() {
            override fun write(byte: Int): Unit = throw IOException("closed")
        }
        val output = LineOutput(closed)
        output.add("line")
        awaitUntil { output.dropped == 1L }
    }
}
