package org.buckthornwheel.standins.platform

import io.ktor.http.ContentType
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.post
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.util.Base64

/** Routes for the subset of the etcd version 3 HTTP gateway that the platform offers. */
internal class KeyValueRoutes(private val state: KeyValueState) {
    fun install(route: Route): Unit = with(route) {
        post("/v3/kv/range") { respond { range(it) } }
        post("/v3/kv/txn") { respond { transaction(it) } }
        post("/v3/lease/grant") { respond { grant(it) } }
        post("/v3/lease/keepalive") { respond { keepAlive(it) } }
        post("/v3/lease/revoke") { respond { revoke(it) } }
        post("/v3/watch") { watch() }
    }

    private suspend fun RoutingContext.respond(block: (JsonObject) -> JsonObject) {
        val request = Json.parseToJsonElement(call.receiveText()).jsonObject
        call.respondText(block(request).toString(), ContentType.Application.Json)
    }

    private fun range(request: JsonObject): JsonObject {
        val entries = state.range(
            from = request.key(),
            until = request["range_end"]?.let { decode(it.jsonPrimitive.content) },
            limit = request["limit"]?.jsonPrimitive?.long?.toInt()?.takeIf { it > 0 } ?: Int.MAX_VALUE,
        )
        return rangeResponse(entries)
    }

    private fun rangeResponse(entries: List<Entry>): JsonObject = buildJsonObject {
        header()
        putJsonArray("kvs") { entries.forEach { add(it.json()) } }
        put("count", entries.size.toString())
    }

    private fun transaction(request: JsonObject): JsonObject = state.transaction {
        val conditionsHold = request.getValue("compare").jsonArray.all { isSatisfied(it.jsonObject) }
        val operations = request[if (conditionsHold) "success" else "failure"]?.jsonArray.orEmpty()
        val responses = operations.map { perform(it.jsonObject) }
        buildJsonObject {
            header()
            put("succeeded", conditionsHold)
            put("responses", buildJsonArray { responses.forEach { add(it) } })
        }
    }

    private fun KeyValueState.isSatisfied(compare: JsonObject): Boolean {
        val entry = entry(compare.key())
        return when (compare["target"]?.jsonPrimitive?.content) {
            "CREATE" -> (entry?.createVersion ?: 0L) == compare.number("create_revision")
            "MOD" -> (entry?.modificationVersion ?: 0L) == compare.number("mod_revision")
            else -> false
        }
    }

    private fun KeyValueState.perform(operation: JsonObject): JsonObject {
        operation["request_put"]?.jsonObject?.let { request ->
            put(request.key(), request.getValue("value").jsonPrimitive.content, request.number("lease"))
            return buildJsonObject { putJsonObject("response_put") { } }
        }
        operation["request_delete_range"]?.jsonObject?.let { request ->
            delete(request.key())
            return buildJsonObject { putJsonObject("response_delete_range") { } }
        }
        val range = operation.getValue("request_range").jsonObject
        return buildJsonObject { put("response_range", rangeResponse(listOfNotNull(entry(range.key())))) }
    }

    private fun grant(request: JsonObject): JsonObject {
        val seconds = request.number("TTL")
        return buildJsonObject {
            put("ID", state.grant(seconds).toString())
            put("TTL", seconds.toString())
        }
    }

    private fun keepAlive(request: JsonObject): JsonObject = buildJsonObject {
        putJsonObject("result") { put("TTL", state.keepAlive(request.number("ID")).toString()) }
    }

    private fun revoke(request: JsonObject): JsonObject = buildJsonObject {
        state.revoke(request.number("ID"))
        header()
    }

    private suspend fun RoutingContext.watch() {
        val request = Json.parseToJsonElement(call.receiveText()).jsonObject.getValue("create_request").jsonObject
        val from = request.key()
        val until = decode(request.getValue("range_end").jsonPrimitive.content)
        call.respondBytesWriter(ContentType.Application.Json) {
            writeStringUtf8(watchResponse(emptyList(), created = true))
            flush()
            var nextVersion = request.number("start_revision").takeIf { it > 0 } ?: (state.currentVersion() + 1)
            while (true) {
                val changes = state.changesSince(nextVersion)
                nextVersion = changes.lastOrNull()?.let { it.version + 1 } ?: nextVersion
                val selected = changes.filter { it.entry.key >= from && it.entry.key < until }
                if (selected.isNotEmpty()) writeStringUtf8(watchResponse(selected, created = false))
                flush()
                awaitVersion(nextVersion)
            }
        }
    }

    /** Waits until the state has reached [version], or until leases have to be checked for expiry again. */
    private suspend fun awaitVersion(version: Long) {
        try {
            withTimeout(LEASE_CHECK_INTERVAL_MILLISECONDS) { state.changed.first { state.currentVersion() >= version } }
        } catch (_: TimeoutCancellationException) {
            return
        }
    }

    private fun watchResponse(changes: List<Change>, created: Boolean): String = buildJsonObject {
        putJsonObject("result") {
            header()
            if (created) put("created", true)
            putJsonArray("events") { changes.forEach { add(it.json()) } }
        }
    }.toString() + "\n"

    private fun Change.json(): JsonElement = buildJsonObject {
        if (deleted) put("type", "DELETE")
        put("kv", entry.copy(modificationVersion = version).json())
    }

    private fun Entry.json(): JsonElement = buildJsonObject {
        put("key", encode(key))
        put("value", value)
        put("create_revision", createVersion.toString())
        put("mod_revision", modificationVersion.toString())
        if (lease != 0L) put("lease", lease.toString())
    }

    private fun JsonObjectBuilder.header() {
        putJsonObject("header") { put("revision", state.currentVersion().toString()) }
    }

    private fun JsonObject.key(): String = decode(getValue("key").jsonPrimitive.content)

    private fun JsonObject.number(name: String): Long = (this[name] as? JsonPrimitive)?.long ?: 0L

    private companion object {
        const val LEASE_CHECK_INTERVAL_MILLISECONDS = 200L

        fun decode(text: String): String = Base64.getDecoder().decode(text).toString(Charsets.ISO_8859_1)

        fun encode(key: String): String = Base64.getEncoder().encodeToString(key.toByteArray(Charsets.ISO_8859_1))
    }
}
