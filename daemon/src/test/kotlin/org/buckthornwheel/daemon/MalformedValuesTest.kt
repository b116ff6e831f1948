/*
 * Malformed values of other writers.
 *
 * A value that cannot be decoded must become a failure that names it. An exception would end the loop that read it, for
 * example the one that sends orders to all targets.
 */

package org.buckthornwheel.daemon

import com.sun.net.httpserver.HttpServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.daemon.audit.ScriptedStore
import org.buckthornwheel.daemon.configuration.NoteLog
import org.buckthornwheel.daemon.orders.ModelRepository
import org.buckthornwheel.platform.ByteArrayValue
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

internal class MalformedValuesTest {
    @Test
    fun `a malformed note is a failure that names its key`(): Unit = runBlocking {
        val store = ScriptedStore()
        val key = NoteLog.PREFIX + "000000000001"
        store.createIfAbsent(key, ByteArrayValue("{\"revision\":".encodeToByteArray()))
        val log = NoteLog(store)
        expectThat(log.readAfter(Revision.NONE).leftOrNull()).isNotNull().get { peer }.isEqualTo(key)
        expectThat(log.read(Revision(1)).leftOrNull()).isNotNull().get { step }.isEqualTo("decode note")
    }

    @Test
    fun `a malformed index of a target is a failure of that target`(): Unit = runBlocking {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/") { exchange ->
            exchange.sendResponseHeaders(200, 0)
            exchange.responseBody.use { it.write("[{\"name\":".encodeToByteArray()) }
        }
        server.start()
        val address = NetworkAddress("127.0.0.1", server.address.port)
        val target = TargetItem(TargetName("target-1"), ZoneName("zone-1"), address, listOf(ModelName("model-1")))
        HttpClient(CIO).use { client ->
            val failure = ModelRepository(client, 10.seconds).inventory(target).leftOrNull()
            expectThat(failure).isNotNull().get { this.target }.isEqualTo("target-1")
        }
        server.stop(0)
    }
}
