package org.buckthornwheel.standins

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer

/** Serves [routes] on [port] of the loopback address until the process is terminated. */
internal fun serve(port: Int, routes: Application.() -> Unit) {
    embeddedServer(CIO, port = port, host = "127.0.0.1", module = routes).start(wait = true)
}
