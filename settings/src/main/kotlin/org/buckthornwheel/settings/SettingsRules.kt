package org.buckthornwheel.settings

import org.buckthornwheel.api.NetworkAddress
import java.net.URI
import java.net.URISyntaxException
import java.util.Base64

/** Validates the values of settings that are well-formed. */
internal object SettingsRules {
    private const val MINIMUM_KEY_BYTES = 32
    private const val SHA256_HEXADECIMAL_LENGTH = 64
    private val LOOPBACK = setOf("127.0.0.1", "localhost", "::1", "[::1]")
    private const val IDENTIFIER_ALLOWED = "letters, digits, '.', '_', '-', at most 63"
    private val IDENTIFIER = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

    fun check(settings: HostSettings): List<SettingsFinding> =
        identity(settings) + addresses(settings) + platform(settings) + keys(settings) +
            administration(settings) + limits(settings) + timeouts(settings) + TlsRules.check(settings.tls)

    private fun identity(settings: HostSettings): List<SettingsFinding> = listOf(
        "$.host.name" to settings.host.name.value,
        "$.host.region" to settings.host.region.value,
        "$.host.zone" to settings.host.zone.value,
    ).filterNot { (_, text) -> IDENTIFIER.matches(text) }
        .map { (path, text) -> SettingsFinding(path, "'$text'", IDENTIFIER_ALLOWED) }

    private fun addresses(settings: HostSettings): List<SettingsFinding> {
        val listen = listOf(
            "$.listen.callers" to settings.listen.callers,
            "$.listen.administration" to settings.listen.administration,
            "$.listen.peers" to settings.listen.peers,
        )
        val advertise = settings.advertise
            ?.let { listOf("$.advertise.callers" to it.callers, "$.advertise.peers" to it.peers) }
            .orEmpty()
        val bootstrap = settings.bootstrapHosts.mapIndexed { at, text -> "$.bootstrapHosts[$at]" to text }
        val mappings = settings.addressMappings.flatMapIndexed { at, mapping ->
            listOf(
                "$.addressMappings[$at].advertised" to mapping.advertised,
                "$.addressMappings[$at].reachedAt" to mapping.reachedAt,
            )
        }
        return (listen + advertise + bootstrap + mappings)
            .filter { (_, address) -> NetworkAddress.parse(address.text) == null }
            .map { (path, address) ->
                SettingsFinding(path, "'${address.text}'", "host:port with a port of 1 to 65535")
            }
    }

    private fun platform(settings: HostSettings): List<SettingsFinding> = listOf(
        "$.platform.keyValueService" to settings.platform.keyValueService,
        "$.platform.clientDirectory" to settings.platform.clientDirectory,
        "$.platform.hostList" to settings.platform.hostList,
    ).filterNot { (_, text) -> isHttpUrl(text) }
        .map { (path, text) -> SettingsFinding(path, "'$text'", "an http or https URL") }

    private fun isHttpUrl(text: String): Boolean = try {
        val url = URI(text)
        url.scheme in setOf("http", "https") && url.host != null
    } catch (_: URISyntaxException) {
        false
    }

    private fun keys(settings: HostSettings): List<SettingsFinding> {
        val noKey = SettingsFinding("$.sharedKeys", "no key", "at least one key")
        if (settings.sharedKeys.isEmpty()) return listOf(noKey)
        return settings.sharedKeys.mapIndexedNotNull { at, key ->
            val length = decodedLength(key.secret)
            if (length != null && length >= MINIMUM_KEY_BYTES) return@mapIndexedNotNull null
            val found = if (length == null) "text that is not Base64" else "$length bytes"
            SettingsFinding("$.sharedKeys[$at].secret", found, "Base64 of at least $MINIMUM_KEY_BYTES bytes")
        }
    }

    private fun decodedLength(secret: String): Int? = try {
        Base64.getDecoder().decode(secret).size
    } catch (_: IllegalArgumentException) {
        null
    }

    private fun administration(settings: HostSettings): List<SettingsFinding> {
        val tokens = settings.administration.tokens
        val host = NetworkAddress.parse(settings.listen.administration.text)?.host
        val unprotected = SettingsFinding(
            "$.administration.tokens",
            "no token",
            "a token, unless on a loopback address",
        )
            .takeIf { tokens.isEmpty() && host !in LOOPBACK }
        val invalidHashes = tokens.mapIndexedNotNull { at, token ->
            SettingsFinding("$.administration.tokens[$at].sha256", "text in another format", "64 hexadecimal digits")
                .takeIf { token.sha256.length != SHA256_HEXADECIMAL_LENGTH || token.sha256.any { it !in HEXADECIMAL } }
        }
        val invalidNames = tokens.mapIndexedNotNull { at, token ->
            SettingsFinding("$.administration.tokens[$at].name", "'${token.name}'", IDENTIFIER_ALLOWED)
                .takeIf { !IDENTIFIER.matches(token.name) }
        }
        return listOfNotNull(unprotected) + invalidHashes + invalidNames
    }

    private fun limits(settings: HostSettings): List<SettingsFinding> = listOf(
        "$.limits.requestBodyBytes" to settings.limits.requestBodyBytes,
        "$.limits.answerBodyBytes" to settings.limits.answerBodyBytes,
        "$.limits.requestsInFlight" to settings.limits.requestsInFlight,
        "$.limits.controlBytesPerSecond" to settings.limits.controlBytesPerSecond,
    ).filter { (_, number) -> number <= 0 }
        .map { (path, number) -> SettingsFinding(path, "$number", "a number above 0") }

    private fun timeouts(settings: HostSettings): List<SettingsFinding> {
        val times = settings.timeouts
        val positive = listOf(
            "connectMilliseconds" to times.connectMilliseconds,
            "firstByteMilliseconds" to times.firstByteMilliseconds,
            "betweenChunksMilliseconds" to times.betweenChunksMilliseconds,
            "defaultDeadlineMilliseconds" to times.defaultDeadlineMilliseconds,
            "requestBodyMilliseconds" to times.requestBodyMilliseconds,
            "platformCallMilliseconds" to times.platformCallMilliseconds,
            "heartbeatIntervalMilliseconds" to times.heartbeatIntervalMilliseconds,
            "shutdownGraceMilliseconds" to times.shutdownGraceMilliseconds,
        ).filter { (_, number) -> number <= 0 }
            .map { (name, number) -> SettingsFinding("$.timeouts.$name", "$number", "milliseconds above 0") }
        val order = listOf(
            Triple("suspectAfterMilliseconds", times.suspectAfterMilliseconds, times.heartbeatIntervalMilliseconds),
            Triple("goneAfterMilliseconds", times.goneAfterMilliseconds, times.suspectAfterMilliseconds),
            Triple("forgetAfterMilliseconds", times.forgetAfterMilliseconds, times.goneAfterMilliseconds),
        ).filter { (_, number, bound) -> number <= bound }
            .map { (name, number, bound) -> SettingsFinding("$.timeouts.$name", "$number", "more than $bound") }
        return positive + order
    }

    private val HEXADECIMAL = ('0'..'9') + ('a'..'f')
}
