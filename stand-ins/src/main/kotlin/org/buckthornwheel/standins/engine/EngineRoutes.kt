package org.buckthornwheel.standins.engine

import io.ktor.http.ContentType
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.server.sse.SSE
import io.ktor.server.sse.SSEServerContent
import kotlinx.coroutines.flow.toList
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

private const val REQUEST_ID_HEADER = "Request-Id"
private val format = Json { ignoreUnknownKeys = true }

/** Installs the routes of an OpenAI-compatible server, `GET /load`, and routes for tests to inspect and control it. */
internal fun Application.engineRoutes(engine: Engine) {
    install(SSE)
    routing {
        get("/load") {
            call.respondText(format.encodeToString(engine.report()), ContentType.Application.Json)
        }
        get("/started") { call.respondText(engine.started.get().toString()) }
        get("/completed") { call.respondText(engine.completed.get().toString()) }
        get("/running") { call.respondText(engine.runningNow.toString()) }
        post("/cross") {
            engine.sendsWrongIdNext = true
            call.respondText("crossing")
        }
        post("/leave") {
            engine.leaving = true
            call.respondText("leaving")
        }
        post("/v1/chat/completions") {
            val request = format.decodeFromString<ChatRequest>(call.receiveText())
            call.request.headers[REQUEST_ID_HEADER]?.let {
                call.response.headers.append(REQUEST_ID_HEADER, engine.responseId(it))
            }
            if (request.stream) respondStreamed(engine, request) else respondWhole(engine, request)
        }
    }
}

private suspend fun RoutingContext.respondStreamed(engine: Engine, request: ChatRequest) {
    call.respond(
        SSEServerContent(call, {
            engine.tokens(request).collect { send(data = chunk(engine, request, it)) }
            send(data = "[DONE]")
        }),
    )
}

private fun chunk(engine: Engine, request: ChatRequest, token: String): String = buildJsonObject {
    put("object", "chat.completion.chunk")
    put("model", request.model)
    put("system_fingerprint", engine.name)
    putJsonArray("choices") {
        addJsonObject {
            put("index", 0)
            putJsonObject("delta") { put("content", token) }
        }
    }
}.toString()

private suspend fun RoutingContext.respondWhole(engine: Engine, request: ChatRequest) {
    val text = engine.tokens(request).toList().joinToString("")
    val body = buildJsonObject {
        put("object", "chat.completion")
        put("model", request.model)
        put("system_fingerprint", engine.name)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("message") {
                    put("role", "assistant")
                    put("content", text)
                }
                put("finish_reason", "stop")
            }
        }
    }
    call.respondText(body.toString(), ContentType.Application.Json)
}
