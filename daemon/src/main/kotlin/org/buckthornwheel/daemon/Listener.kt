package org.buckthornwheel.daemon

import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.embeddedServer
import io.ktor.server.engine.sslConnector
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.httpVersion
import io.ktor.server.response.header
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.settings.KeyStoreFile
import java.io.IOException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.security.KeyStore
import kotlin.io.path.Path
import kotlin.io.path.readText

/**
 * One HTTP server of the process with its own address; it uses TLS if [keyStore] is given.
 *
 * While [isStopping], each response announces the end of its connection, so that callers send no request on it later.
 */
internal class Listener(
    private val address: NetworkAddress,
    private val keyStore: KeyStoreFile? = null,
    private val isStopping: () -> Boolean,
    private val routes: Application.() -> Unit,
) {
    private val server: EmbeddedServer<*, *> = keyStore?.let(::tlsServer) ?: plainServer()

    /** Starts to accept connections; throws an [IOException] that names the address if it cannot listen there. */
    fun start() {
        checkAddress()
        server.start(wait = false)
    }

    fun stop() {
        server.stop(STOP_GRACE_MILLISECONDS, STOP_GRACE_MILLISECONDS)
    }

    private fun install(application: Application) {
        application.intercept(ApplicationCallPipeline.Plugins) {
            if (isStopping() && call.request.httpVersion == HTTP_1_1) {
                call.response.header(HttpHeaders.Connection, "close")
            }
        }
        application.routes()
    }

    // Binds a plain socket first, because the engines report an address in use only on one of their own threads.
    private fun checkAddress() {
        try {
            ServerSocket().use { it.bind(InetSocketAddress(address.host, address.port)) }
        } catch (failure: IOException) {
            throw IOException("cannot listen on $address: ${failure.message}", failure)
        }
    }

    private fun plainServer(): EmbeddedServer<*, *> =
        embeddedServer(CIO, host = address.host, port = address.port, module = ::install)

    // Uses Netty, because the CIO engine does not support TLS for servers.
    private fun tlsServer(files: KeyStoreFile): EmbeddedServer<*, *> {
        val password = Path(files.passwordFile).readText().trim().toCharArray()
        val store = KeyStore.getInstance(Path(files.file).toFile(), password)
        val configure: NettyApplicationEngine.Configuration.() -> Unit = {
            sslConnector(store, store.aliases().toList().single(store::isKeyEntry), { password }, { password }) {
                host = address.host
                port = address.port
            }
        }
        return embeddedServer(Netty, applicationEnvironment(), configure, ::install)
    }

    private companion object {
        const val STOP_GRACE_MILLISECONDS = 200L
        const val HTTP_1_1 = "HTTP/1.1"
    }
}
