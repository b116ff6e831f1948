package org.buckthornwheel.settings

import kotlinx.serialization.json.Json
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Reads recorded settings files, and compares findings with their recorded JSON.
 *
 * Names of properties and enum values are the keys and values of a settings file. A rename without `@SerialName` would
 * make a host refuse the file of an operator.
 */
internal class EncodedFormsTest {
    private val settings = HostSettings(
        host = HostIdentity(HostName("host-1"), RegionName("region-1"), ZoneName("zone-1")),
        listen = ListenAddresses(text("127.0.0.1:1"), text("127.0.0.1:2"), text("127.0.0.1:3")),
        advertise = AdvertisedAddresses(text("192.0.2.1:4"), text("192.0.2.1:5")),
        platform = PlatformAddresses("http://192.0.2.2:6", "http://192.0.2.3:7", "http://192.0.2.4:8"),
        bootstrapHosts = listOf(text("192.0.2.5:9")),
        addressMappings = listOf(AddressMapping(text("192.0.2.6:10"), text("192.0.2.7:11"))),
        sharedKeys = listOf(SharedKey("key-1", "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=")),
        administration = AdministrationSettings(
            AdministrationRole.entries.mapIndexed { at, role -> AdministrationToken("t$at", role, "0$at".repeat(32)) },
        ),
        limits = LimitSettings(1_001, 1_002, 1_003, 1_004),
        actions = ActionSettings(2_001, 2_002),
        timeouts = TimeoutSettings(
            3_001,
            3_002,
            3_003,
            3_004,
            3_005,
            3_006,
            3_007,
            suspectAfterMilliseconds = 30_008,
            goneAfterMilliseconds = 300_009,
            forgetAfterMilliseconds = 3_000_010,
            shutdownGraceMilliseconds = 3_011,
        ),
        orders = OrderSettings(40_001, 4_002, 4_003, 4_004, 4_005),
        logging = LoggingSettings(LogLevel.DEBUG),
        routing = RoutingSettings(RoutingPolicy.LEAST_LOADED),
    )
    private val tls = TlsSettings(KeyStoreFile("file-1", "password-1"), KeyStoreFile("file-2", "password-2"))

    private fun text(text: String) = NetworkAddressText(text)

    private fun recorded(name: String): String = checkNotNull(javaClass.getResource("/encoded-forms/$name")).readText()

    @Test
    fun `a file with every key is read`() {
        expectThat(SettingsReader.parse(recorded("settings.json")).getOrNull()).isEqualTo(settings)
    }

    @Test
    fun `a file with the required keys alone is read with the defaults`() {
        val required = HostSettings(
            host = settings.host,
            listen = settings.listen,
            platform = settings.platform,
            sharedKeys = settings.sharedKeys,
        )
        expectThat(SettingsReader.parse(recorded("required.json")).getOrNull()).isEqualTo(required)
    }

    @Test
    fun `the TLS section is read`() {
        expectThat(Json.decodeFromString<TlsSettings>(recorded("tls.json"))).isEqualTo(tls)
    }

    @Test
    fun `each log level and each routing policy is read`() {
        expectThat(Json.decodeFromString<List<LoggingSettings>>(recorded("logging.json")))
            .isEqualTo(LogLevel.entries.map { LoggingSettings(it) })
        expectThat(Json.decodeFromString<List<RoutingSettings>>(recorded("routing.json")))
            .isEqualTo(RoutingPolicy.entries.map { RoutingSettings(it) })
    }

    @Test
    fun `findings are printed in their recorded form`() {
        expectThat(Json.encodeToString(listOf(SettingsFinding("$.path", "found", "allowed"))))
            .isEqualTo(recorded("findings.json").trim())
    }
}
