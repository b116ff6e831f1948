package org.buckthornwheel.standins.platform

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.http.ContentType
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.buckthornwheel.standins.serve
import java.security.MessageDigest
import java.time.Instant
import java.util.HexFormat

/** Stands in for the platform: its key-value service, client directory and host list in one process. */
internal class PlatformCommand : CliktCommand(name = "platform") {
    private val port by option(help = "Port to listen on.").int().required()
    private val accounts by option("--account", help = "An account, as name=token.").multiple()
    private val hosts by option("--listed-host", help = "Peer address of a host in the host list.").multiple()

    private val startedAt = Instant.now()

    override fun run() {
        val state = KeyValueState(System::currentTimeMillis)
        val keyValueRoutes = KeyValueRoutes(state)
        serve(port) {
            routing {
                keyValueRoutes.install(this)
                get("/scim/v2/Users") {
                    val start = call.request.queryParameters["startIndex"]?.toIntOrNull() ?: 1
                    val count = call.request.queryParameters["count"]?.toIntOrNull() ?: accounts.size
                    val since = call.request.queryParameters["filter"]?.let(::parseModifiedAfter)
                    call.respondText(directoryPage(start, count, since), ContentType.Application.Json)
                }
                get("/hosts") { call.respondText(hostList(), ContentType.Application.Json) }
            }
        }
    }

    /** Parses the instant in a filter `meta.lastModified gt "..."`, the only supported form of filter. */
    private fun parseModifiedAfter(filter: String): Instant =
        Instant.parse(filter.substringAfter("meta.lastModified gt ").trim('"'))

    private fun directoryPage(start: Int, count: Int, since: Instant?): String = buildJsonObject {
        val selected = if (since == null || startedAt > since) accounts else emptyList()
        put("totalResults", selected.size)
        putJsonArray("Resources") {
            selected.drop(start - 1).take(count).forEach { account ->
                addJsonObject {
                    put("userName", account.substringBefore('='))
                    put("externalId", sha256(account.substringAfter('=')))
                    put("active", true)
                }
            }
        }
    }.toString()

    private fun hostList(): String = buildJsonArray {
        addJsonObject {
            putJsonArray("targets") { hosts.forEach { add(it) } }
            putJsonObject("labels") { put("state", "live") }
        }
    }.toString()

    private fun sha256(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))
}
