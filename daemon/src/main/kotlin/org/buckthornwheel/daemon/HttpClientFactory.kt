package org.buckthornwheel.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.sse.SSE
import org.buckthornwheel.settings.TimeoutSettings

/** Makes the HTTP clients of the process; every timeout beyond connecting is the caller's. */
internal class HttpClients(private val timeouts: TimeoutSettings) {
    /** A client with a connection pool of its own. */
    fun create(): HttpClient = HttpClient(CIO) {
        install(SSE)
        followRedirects = false
        expectSuccess = false
        engine {
            requestTimeout = NO_TIMEOUT
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint {
                connectTimeout = timeouts.connectMilliseconds
                connectAttempts = 1
                maxConnectionsPerRoute = MAXIMUM_CONNECTIONS_PER_PEER
            }
        }
    }

    private companion object {
        const val NO_TIMEOUT = 0L
        const val MAXIMUM_CONNECTIONS = 4_000
        const val MAXIMUM_CONNECTIONS_PER_PEER = 1_000
    }
}
