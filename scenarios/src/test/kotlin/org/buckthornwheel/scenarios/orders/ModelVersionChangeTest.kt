package org.buckthornwheel.scenarios.orders

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.settings.OrderSettings
import org.buckthornwheel.testing.ChildProcess
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalTarget
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.seconds

class ModelVersionChangeTest {
    private val estate = LocalEstate.of(
        estateLayout {
            zone("salish-south-a", "salish-south", hosts = 2, engines = 1, services = 0)
            orders = OrderSettings(
                leaseMilliseconds = 2_000,
                longestOrderMilliseconds = 500,
                intervalMilliseconds = 100,
                loadIntervalMilliseconds = 100,
            )
        },
    )
    private val operator = Operator()
    private val client = HttpClient(CIO)
    private val engine = estate.engines.single()

    @AfterEach
    fun close(): Unit = listOf(client, operator, estate).forEach { it.close() }

    @Nested
    inner class `given an engine that serves version 1` {
        @Test
        fun `version 2 is loaded before version 1 is unloaded, also when the sender is frozen in between`(): Unit =
            runBlocking {
                startWithVersion1()
                val sender = sender()
                sender.freeze()
                awaitUntil("the other host accepts the note") { operator.submit(other(sender), versionNote()).accepted }
                awaitUntil("version 1 is unloaded", 60.seconds) { orders(engine).any { it.isOf("unload", "1") } }
                sender.thaw()
                awaitUntil("the resumed host has applied the note") {
                    estate.hosts.all { operator.revision(it) == Revision(2) }
                }
                expectCorrectSequence(orders(engine))
            }
    }

    private suspend fun startWithVersion1() {
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        awaitUntil("the first note is accepted") { operator.submit(estate.hosts.first(), estate.firstNote()).accepted }
        awaitUntil("version 1 is loaded") { orders(engine).any { it.isOf("load", "1") } }
    }

    private fun expectCorrectSequence(received: List<ObservedOrder>) {
        val loaded = received.indexOfFirst { it.isOf("load", "2") }
        val unloaded = received.indexOfFirst { it.isOf("unload", "1") }
        expectThat(loaded).isLessThan(unloaded)
        expectThat(received.map { it.fencing }).isEqualTo(received.map { it.fencing }.sorted())
    }

    /**
     * The host that sends the orders. Waits for its log line, because an engine lists an order before its response
     * reaches the sender, and the sender logs the order only after that response.
     */
    private suspend fun sender(): ChildProcess {
        val processes = estate.hosts.map { estate.process(it.name) }
        awaitUntil("a host has logged its order") { processes.any(::hasSentOrder) }
        return processes.first(::hasSentOrder)
    }

    private fun hasSentOrder(process: ChildProcess): Boolean =
        "accepted the order" in process.output.toFile().readText()

    private fun other(sender: ChildProcess) = estate.hosts.first { it.name != sender.name }

    private fun versionNote() = ReleaseNote(
        id = NoteId("second"),
        author = "operator",
        base = Revision(1),
        changed = listOf(ModelItem(LocalEstate.MODEL, "2")),
    )

    private suspend fun orders(engine: LocalTarget): List<ObservedOrder> =
        Json.decodeFromString(client.get("http://${engine.address}/orders").bodyAsText())

    @Serializable
    private data class ObservedOrder(val verb: String, val model: String, val version: String, val fencing: Long) {
        fun isOf(expectedVerb: String, expectedVersion: String) = verb == expectedVerb && version == expectedVersion
    }
}
