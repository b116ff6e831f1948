package org.buckthornwheel.forwarding.observability

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.single
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.logging.Level
import java.util.logging.LogManager
import java.util.logging.Logger
import kotlin.time.Duration.Companion.seconds

internal class LibraryLogTest {
    private val written = ByteArrayOutputStream()
    private val log = DecisionLog("host-1", LineOutput(written))

    @Test
    fun `warnings of libraries become lines`() {
        LibraryLog.install(log)
        // The test's own runtime has used its logging before.
        LogManager.getLogManager().readConfiguration()
        Logger.getLogger("some.library").log(Level.WARNING, "pool exhausted")
        Logger.getLogger("some.library").log(Level.INFO, "pool grows")
        expectThat(lines()).single().contains(""""logger":"some.library","message":"pool exhausted"""")
    }

    @Test
    fun `a warning of the network library names its arguments and its cause`() {
        val logger = LibraryLogger("some.channel", log)
        logger.warn("{} of {} failed", "write", "channel 7", IOException("reset"))
        logger.info("opened")
        expectThat(lines()).single()
            .contains(""""message":"write of channel 7 failed","cause":"java.io.IOException: reset"""")
    }

    @Test
    fun `an error of the network library is told as such`() {
        LibraryLogger("some.channel", log).error("out of memory", IOException("no buffer"))
        expectThat(lines()).single()
            .contains(""""event":"error","logger":"some.channel","message":"out of memory","cause":"java.io""")
    }

    @Test
    fun `a place without an argument stays`() {
        LibraryLogger("some.channel", log).warn("{} of {}", "write")
        expectThat(lines()).hasSize(1)
        expectThat(lines().first().contains("write of {}")).isEqualTo(true)
    }

    private fun lines(): List<String> {
        log.flush(5.seconds)
        return written.toString().lines().filter { it.isNotEmpty() }
    }
}
