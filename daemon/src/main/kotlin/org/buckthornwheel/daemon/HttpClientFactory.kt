package org.buckthornwheel.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.sse.SSE
import org.buckthornwheel.settings.TimeoutSettings

/** Creates the HTTP clients of the process; only the connect timeout is set, users of a client set all others. */
internal class HttpClientFactory(private val timeouts: TimeoutSettings) {
    /** Creates a client with its own connection pool. */
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
