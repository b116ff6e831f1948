/*
 * The settings of one entry host, as written in its settings file.
 *
 * Fields with a default are optional; the defaults are defined only here. The annotated example
 * `docs/settings.example.json` describes each field with its unit.
 */

package org.buckthornwheel.settings

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ZoneName

/** All settings of one entry host's process. */
@Serializable
public data class HostSettings(
    public val host: HostIdentity,
    public val listen: ListenAddresses,
    public val advertise: AdvertisedAddresses? = null,
    public val platform: PlatformAddresses,
    public val bootstrapHosts: List<NetworkAddressText> = emptyList(),
    public val addressMappings: List<AddressMapping> = emptyList(),
    public val sharedKeys: List<SharedKey>,
    public val administration: AdministrationSettings = AdministrationSettings(),
    public val limits: LimitSettings = LimitSettings(),
    public val actions: ActionSettings = ActionSettings(),
    public val timeouts: TimeoutSettings = TimeoutSettings(),
    public val orders: OrderSettings = OrderSettings(),
    public val tls: TlsSettings = TlsSettings(),
    public val logging: LoggingSettings = LoggingSettings(),
    public val routing: RoutingSettings = RoutingSettings(),
)

/** The name and the location of the host. */
@Serializable
public data class HostIdentity(public val name: HostName, public val region: RegionName, public val zone: ZoneName)

/** The text of an address in the format `host:port`. */
@JvmInline
@Serializable
public value class NetworkAddressText(public val text: String) {
    /** Parses the address; fails if [text] is malformed, which [SettingsReader] rules out. */
    public fun address(): NetworkAddress =
        requireNotNull(NetworkAddress.parse(text)) { "address '$text' does not have the format host:port" }
}

/** The addresses that the process listens on. */
@Serializable
public data class ListenAddresses(
    public val callers: NetworkAddressText,
    public val administration: NetworkAddressText,
    public val peers: NetworkAddressText,
)

/** The addresses at which callers and other hosts reach the process, if they differ from those it listens on. */
@Serializable
public data class AdvertisedAddresses(public val callers: NetworkAddressText, public val peers: NetworkAddressText)

/** The base addresses of the platform's services, each an HTTP URL. */
@Serializable
public data class PlatformAddresses(
    public val keyValueService: String,
    public val clientDirectory: String,
    public val hostList: String,
)

/** Maps an address that another host advertises to the address at which this host reaches it. */
@Serializable
public data class AddressMapping(public val advertised: NetworkAddressText, public val reachedAt: NetworkAddressText)

/** A key shared by all hosts; messages are signed with the first key and verified with any. The secret is Base64. */
@Serializable
public data class SharedKey(public val identifier: String, public val secret: String) {
    override fun toString(): String = "SharedKey($identifier)"
}

/** Access to the administration API. */
@Serializable
public data class AdministrationSettings(public val tokens: List<AdministrationToken> = emptyList())

/** The permissions of a bearer token. */
@Serializable
public enum class AdministrationRole {
    /** Read access. */
    READER,

    /** Read and write access. */
    OPERATOR,
}

/** A bearer token of the administration API, given as the hexadecimal SHA-256 of its text. */
@Serializable
public data class AdministrationToken(
    public val name: String,
    public val role: AdministrationRole,
    public val sha256: String,
)

/** Limits on memory use and load. */
@Serializable
public data class LimitSettings(
    public val requestBodyBytes: Int = 1_048_576,
    public val answerBodyBytes: Int = 8_388_608,
    public val requestsInFlight: Int = 2_000,
    public val controlBytesPerSecond: Int = 1_900,
)

/**
 * How long and how many idempotency keys are remembered.
 *
 * @property retryWindowSeconds the time for which a key is remembered; callers do not retry an action after it.
 * @property maximumKeys the maximum number of remembered keys; actions with further keys are rejected.
 */
@Serializable
public data class ActionSettings(public val retryWindowSeconds: Long = 86_400, public val maximumKeys: Int = 100_000)

/**
 * How orders to load and unload models are sent to targets.
 *
 * @property leaseMilliseconds the time to live of the order lease of a zone after each renewal.
 * @property longestOrderMilliseconds the timeout of a call that sends an order.
 * @property intervalMilliseconds the interval at which targets are polled for the model versions they hold.
 * @property loadIntervalMilliseconds the minimum time between the starts of two loads in a zone, which follows from
 * the throughput of the weight store.
 * @property loadsAtOnce the maximum number of versions that load concurrently in a zone.
 */
@Serializable
public data class OrderSettings(
    public val leaseMilliseconds: Long = 10_000,
    public val longestOrderMilliseconds: Long = 2_000,
    public val intervalMilliseconds: Long = 1_000,
    public val loadIntervalMilliseconds: Long = 10_000,
    public val loadsAtOnce: Int = 2,
)

/** Timeouts and intervals, all in milliseconds. */
@Serializable
public data class TimeoutSettings(
    public val connectMilliseconds: Long = 1_000,
    public val firstByteMilliseconds: Long = 10_000,
    public val betweenChunksMilliseconds: Long = 5_000,
    public val defaultDeadlineMilliseconds: Long = 120_000,
    public val requestBodyMilliseconds: Long = 10_000,
    public val platformCallMilliseconds: Long = 1_000,
    public val heartbeatIntervalMilliseconds: Long = 1_000,
    public val suspectAfterMilliseconds: Long = 3_000,
    public val goneAfterMilliseconds: Long = 10_000,
    public val forgetAfterMilliseconds: Long = 600_000,
    public val shutdownGraceMilliseconds: Long = 600_000,
)
