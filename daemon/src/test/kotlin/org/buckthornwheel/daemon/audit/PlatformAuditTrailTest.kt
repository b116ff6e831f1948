package org.buckthornwheel.daemon.audit

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.protocol.administration.AuditEntry
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditedAction
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlatformAuditTrailTest {
    private val store = ScriptedStore()
    private val registry = SimpleMeterRegistry()
    private val trail = PlatformAuditTrail(store, MonotonicClock.SYSTEM, registry, retryInterval = 5.milliseconds)

    private fun entry(at: Long) =
        AuditEntry(at, "host", "night-shift", AuditedAction.DRAIN, "host", AuditResult.ACCEPTED, "detail")

    /** Runs the trail until the store holds [entries]; fails if it does not within 30 seconds. */
    private suspend fun runUntilStored(entries: Int, beforehand: () -> Unit = {}) = runBlocking {
        val writer = launch(Dispatchers.Default) { trail.run() }
        delay(20.milliseconds)
        beforehand()
        withTimeout(30.seconds) { while (store.size < entries) delay(5.milliseconds) }
        writer.cancelAndJoin()
    }

    @Nested
    inner class `given a platform that is unavailable for a while` {
        @Test
        fun `queued entries are written later and read in the order of time`(): Unit = runBlocking {
            store.isUnavailable = true
            (3L downTo 1L).forEach { trail.record(entry(it)) }
            runUntilStored(3) { store.isUnavailable = false }
            val read = trail.entriesSince(2, limit = 10).getOrNull().orEmpty()
            expectThat(read.map { it.atMilliseconds }).containsExactly(2L, 3L)
        }

        @Test
        fun `entries beyond the queue's length are dropped and counted`() {
            store.isUnavailable = true
            repeat(PlatformAuditTrail.QUEUE_LENGTH + 5) { trail.record(entry(it.toLong())) }
            expectThat(registry.counter("buckthornwheel.audit.dropped").count()).isEqualTo(5.0)
        }

        @Test
        fun `reading fails`(): Unit = runBlocking {
            store.isUnavailable = true
            expectThat(trail.entriesSince(0, limit = 10).isLeft()).isEqualTo(true)
        }
    }

    @Nested
    inner class `given writes whose responses are lost` {
        @Test
        fun `each entry is stored once`(): Unit = runBlocking {
            store.losesWriteResponses = true
            trail.record(entry(1))
            trail.record(entry(2))
            runUntilStored(2) { store.losesWriteResponses = false }
            expectThat(store.size).isEqualTo(2)
        }
    }
}
