package org.buckthornwheel.daemon

import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.fleet.LoadPoller
import org.buckthornwheel.daemon.orders.ModelRepository
import org.buckthornwheel.daemon.request.PromptPrefix
import org.buckthornwheel.decision.fleet.FleetLimits
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import org.buckthornwheel.decision.orders.FencingNumber
import org.buckthornwheel.decision.orders.ModelVersionStatus
import org.buckthornwheel.decision.orders.Order
import org.buckthornwheel.decision.orders.VersionName
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Compares messages to and from targets and callers with recorded forms.
 *
 * Property names are part of these forms. A rename without `@SerialName` would make the gateway misread a target.
 */
internal class EncodedFormsTest {
    private val responses = ConcurrentHashMap<String, String>()
    private val bodies = CopyOnWriteArrayList<String>()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private val client = HttpClient(CIO)
    private val target: TargetItem

    init {
        server.createContext("/") { exchange ->
            bodies.add(exchange.requestBody.readAllBytes().decodeToString())
            val response = responses[exchange.requestURI.path].orEmpty().encodeToByteArray()
            exchange.sendResponseHeaders(200, response.size.toLong())
            exchange.responseBody.use { it.write(response) }
        }
        server.start()
        val address = NetworkAddress("127.0.0.1", server.address.port)
        target = TargetItem(TargetName("target-1"), ZoneName("zone-1"), address, listOf(ModelName("model-1")))
    }

    @AfterEach
    fun close() {
        client.close()
        server.stop(0)
    }

    @Test
    fun `the index of a target's models is requested and read in its recorded form`(): Unit = runBlocking {
        responses["/v2/repository/index"] = INDEX
        expectThat(ModelRepository(client, 10.seconds).inventory(target).getOrNull()).isEqualTo(
            listOf(
                ModelVersionStatus(ModelName("model-1"), VersionName("v2"), ready = true),
                ModelVersionStatus(ModelName("model-2"), VersionName("1"), ready = false),
            ),
        )
        expectThat(bodies).containsExactly(INDEX_REQUEST)
    }

    @Test
    fun `orders are written in their recorded form`(): Unit = runBlocking {
        val repository = ModelRepository(client, 10.seconds)
        repository.send(Order.Load(target, ModelName("model-1"), VersionName("v2")), FencingNumber(3))
        repository.send(Order.Unload(target, ModelName("model-1"), VersionName("v1")), FencingNumber(3))
        expectThat(bodies).containsExactly(LOAD_REQUEST, UNLOAD_REQUEST)
    }

    @Test
    fun `the load of a target is read in its recorded form`() {
        expectThat(polledLoad(LOAD)).isEqualTo(TargetLoad(running = 3, waiting = 4, leaving = true))
        expectThat(polledLoad(LOAD_WITHOUT_LEAVING)).isEqualTo(TargetLoad(running = 5, waiting = 6, leaving = false))
    }

    private fun polledLoad(report: String): TargetLoad? = runBlocking {
        responses["/load"] = report
        val estate = EstateHolder()
        val region = RegionName("region-1")
        val items = listOf(
            RegionItem(region),
            ZoneItem(target.zone, region),
            ModelItem(ModelName("model-1"), "v2"),
            target,
        )
        val note = ReleaseNote(NoteId("note-1"), "author-1", Revision.NONE, added = items)
        estate.offer(AcceptedNote(Revision.NONE.next(), note, HostName("host-1"), 0))
        val fleet = TargetFleet(FleetLimits(failuresToEject = 3, ejectionTime = 10.seconds))
        val now = MonotonicInstant(0)
        val polling = launch { LoadPoller(client, target.zone, estate, fleet, { now }).run() }
        withTimeout(10.seconds) {
            while (fleet.state(target.name, now).lastReport == null) delay(10.milliseconds)
        }
        polling.cancel()
        fleet.state(target.name, now).lastReport
    }

    @Test
    fun `the prompt is found in the recorded form of a request`() {
        val text = "prompt ".repeat(60)
        val plain = PromptPrefix.hash("""{"model": "model-1", "prompt": "$text"}""".encodeToByteArray())
        val chat = PromptPrefix.hash("""{"model": "m", "messages": [{"content": "$text"}]}""".encodeToByteArray())
        expectThat(plain to chat).isEqualTo(PROMPT_HASHES)
    }

    private companion object {
        const val INDEX_REQUEST = "{}"
        const val INDEX = """[{"name": "model-1", "version": "v2", "state": "READY"}, {"name": "model-2"}]"""
        const val LOAD_REQUEST = """{"parameters":{"version":"v2"}}"""
        const val UNLOAD_REQUEST = """{"parameters":{"version":"v1"}}"""
        const val LOAD = """{"running": 3, "waiting": 4, "leaving": true}"""
        const val LOAD_WITHOUT_LEAVING = """{"running": 5, "waiting": 6}"""
        val PROMPT_HASHES = -6556114528890154395 to 6359330283277367299
    }
}
