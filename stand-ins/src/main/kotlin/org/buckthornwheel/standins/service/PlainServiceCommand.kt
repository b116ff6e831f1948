package org.buckthornwheel.standins.service

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.ContentType
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.buckthornwheel.standins.serve
import java.util.concurrent.ConcurrentLinkedQueue

/** An effect of a request on the service: the operation, the caller's idempotency key, and the request body. */
@Serializable
internal data class Effect(val operation: String, val idempotencyKey: String?, val body: String)

/** A plain service that records every POST request as a new effect, without detecting duplicates. */
internal class PlainServiceCommand : CliktCommand(name = "plain-service") {
    private val port by option(help = "Port to listen on.").int().required()
    private val name by option(help = "Name of the replica, included in its responses.").required()
    private val workMilliseconds by option(
        "--work",
        help = "Processing time of a request in milliseconds.",
    ).long().default(2)
    private val effects = ConcurrentLinkedQueue<Effect>()

    override fun run() {
        serve(port) {
            routing {
                post("/{service}/{operation}") {
                    val body = call.receiveText()
                    val operation = call.parameters["operation"].orEmpty()
                    effects.add(Effect(operation, call.request.headers["Idempotency-Key"], body))
                    delay(workMilliseconds)
                    call.respondText("""{"service":"$name","effects":${effects.size}}""", ContentType.Application.Json)
                }
                get("/{service}/{operation}") {
                    call.respondText("""{"service":"$name"}""", ContentType.Application.Json)
                }
                get("/effects") {
                    call.respondText(Json.encodeToString(effects.toList()), ContentType.Application.Json)
                }
                get("/load") {
                    call.respondText("""{"running":0,"waiting":0,"leaving":false}""", ContentType.Application.Json)
                }
            }
        }
    }
}
