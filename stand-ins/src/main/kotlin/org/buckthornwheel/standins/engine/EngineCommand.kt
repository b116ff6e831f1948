package org.buckthornwheel.standins.engine

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.server.routing.routing
import org.buckthornwheel.standins.serve

/** A model engine: an OpenAI-compatible server that generates predictable tokens. */
internal class EngineCommand : CliktCommand(name = "engine") {
    private val port by option(help = "Port to listen on.").int().required()
    private val name by option(help = "Name of the engine, included in its responses.").required()
    private val slots by option(help = "Maximum number of concurrent requests.").int().default(DEFAULT_SLOTS)
    private val firstToken by option(
        help = "Time to the first token in milliseconds.",
    ).long().default(DEFAULT_FIRST_TOKEN_MILLISECONDS)
    private val tokenInterval by option(
        help = "Time between tokens in milliseconds.",
    ).long().default(DEFAULT_TOKEN_INTERVAL_MILLISECONDS)
    private val loadTime by option(
        help = "Time to load a model version in milliseconds.",
    ).long().default(DEFAULT_LOAD_TIME_MILLISECONDS)
    private val checksFencing by option(help = "Reject orders with an outdated fencing number.").flag()
    private val reportLag by option(
        help = "Maximum age of load reports in milliseconds.",
    ).long().default(DEFAULT_REPORT_LAG_MILLISECONDS)

    override fun run() {
        val engine = Engine(name, slots, firstToken, tokenInterval, reportLag)
        val models = EngineModels(loadTime, checksFencing)
        serve(port) {
            engineRoutes(engine)
            routing { models.install(this) }
        }
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val DEFAULT_FIRST_TOKEN_MILLISECONDS = 20L
        const val DEFAULT_TOKEN_INTERVAL_MILLISECONDS = 5L
        const val DEFAULT_LOAD_TIME_MILLISECONDS = 300L
        const val DEFAULT_REPORT_LAG_MILLISECONDS = 500L
    }
}
