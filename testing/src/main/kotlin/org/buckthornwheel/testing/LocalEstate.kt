package org.buckthornwheel.testing

import kotlinx.serialization.json.Json
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.OperationName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.Operation
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ServiceItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem
import org.buckthornwheel.settings.AddressMapping
import org.buckthornwheel.settings.HostIdentity
import org.buckthornwheel.settings.HostSettings
import org.buckthornwheel.settings.LimitSettings
import org.buckthornwheel.settings.ListenAddresses
import org.buckthornwheel.settings.NetworkAddressText
import org.buckthornwheel.settings.PlatformAddresses
import org.buckthornwheel.settings.SharedKey
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/** Addresses and identity of one host of a local estate. */
public data class LocalHost(
    public val name: String,
    public val zone: ZoneLayout,
    public val callers: NetworkAddress,
    public val administration: NetworkAddress,
    public val peers: NetworkAddress,
)

/** Address and identity of one target of a local estate. */
public data class LocalTarget(public val name: String, public val zone: ZoneLayout, public val address: NetworkAddress)

/**
 * A whole estate of separate processes on the loopback address: stand-ins of the platform and of the targets,
 * and hosts. Every process is ended by [close].
 *
 * @property directory where settings and outputs are written.
 */
public class LocalEstate(public val layout: EstateLayout, public val directory: Path) : AutoCloseable {
    private val processes = LinkedHashMap<String, ChildProcess>()

    /** Where the platform's stand-in listens. */
    public val platform: NetworkAddress = freeAddress()

    /** The hosts, in the order of the zones. */
    public val hosts: List<LocalHost> = layout.zones.flatMap { zone ->
        (1..zone.hosts).map {
            LocalHost("${zone.name}-host-$it", zone, freeAddress(), freeAddress(), freeAddress())
        }
    }

    /** The model engines, in the order of the zones. */
    public val engines: List<LocalTarget> = layout.zones.flatMap { zone ->
        (1..zone.engines).map { LocalTarget("${zone.name}-engine-$it", zone, freeAddress()) }
    }

    /** The replicas of the plain service, in the order of the zones. */
    public val services: List<LocalTarget> = layout.zones.flatMap { zone ->
        (1..zone.services).map { LocalTarget("${zone.name}-service-$it", zone, freeAddress()) }
    }

    /** How a host reaches the platform; a test that cuts the host off puts a proxy here. */
    public var platformAddressOf: (LocalHost) -> NetworkAddress = { platform }

    /** How a host reaches another one; a test that cuts zones apart puts proxies here. */
    public var mappingsOf: (LocalHost) -> List<AddressMapping> = { emptyList() }

    /** How hosts reach a target; a test that breaks connections to targets puts proxies here. */
    public var addressOf: (LocalTarget) -> NetworkAddress = { it.address }

    /** What a test or a measurement changes about a host's settings. */
    public var changeSettings: (LocalHost, HostSettings) -> HostSettings = { _, settings -> settings }

    /** The memory flags of the process with a given name. */
    public var memoryOf: (String) -> List<String> = { ChildProcess.SMALL_MEMORY }

    /** The process called [name]. */
    public fun process(name: String): ChildProcess = requireNotNull(processes[name]) { "no process is called $name" }

    /** Starts every stand-in. */
    public fun startStandIns() {
        startPlatform()
        engines.forEach(::startEngine)
        services.forEach(::startService)
    }

    /** Starts the platform's stand-in. */
    public fun startPlatform() {
        val accounts = layout.accounts.flatMap { listOf("--account", "${it.name}=${it.token}") }
        val listed = hosts.flatMap { listOf("--listed-host", it.peers.toString()) }
        start("platform", STAND_INS, listOf("platform", "--port", "${platform.port}") + accounts + listed)
    }

    /** Starts the engine [target]. */
    public fun startEngine(target: LocalTarget) {
        val arguments = listOf("engine", "--port", "${target.address.port}", "--name", target.name)
        start(target.name, STAND_INS, arguments + layout.engineArguments)
    }

    /** Starts the plain service's replica [target]. */
    public fun startService(target: LocalTarget): Unit = start(
        target.name,
        STAND_INS,
        listOf("plain-service", "--port", "${target.address.port}", "--name", target.name),
    )

    /** Starts the daemon of [host]. */
    public fun startHost(host: LocalHost) {
        val file = directory.resolve("${host.name}.json")
        file.writeText(Json.encodeToString(changeSettings(host, settingsOf(host))))

        start(host.name, DAEMON, listOf("--settings", file.toString()))
    }

    /** Runs the operators' command line with [arguments] against [host]; the exit code. */
    public fun runCommandLine(host: LocalHost, arguments: List<String>): Int {
        val name = "command-${processes.size}"
        start(name, COMMAND_LINE, listOf("--address", "http://${host.administration}") + arguments)
        return requireNotNull(process(name).awaitExit(COMMAND_SECONDS)) { "the command did not end" }
    }

    /** Writes [note] to a file that the command line can submit. */
    public fun writeNote(note: ReleaseNote): Path {
        val file = directory.resolve("note-${note.id}.json")
        file.writeText(Json.encodeToString(note))
        return file
    }

    /** The note that declares everything in the layout. */
    public fun firstNote(): ReleaseNote = ReleaseNote(
        id = NoteId("first"),
        author = "operator",
        base = Revision.NONE,
        added = regions() + zones() + works() + targets() + accounts(),
    )

    /** Prints the last lines of each process's output, for a test that fails where nobody can look at the files. */
    public fun printOutputs() {
        processes.values.forEach { process ->
            println("--- ${process.name}, ${if (process.isAlive) "running" else "ended"}")
            process.output.readLines().takeLast(PRINTED_LINES).forEach(::println)
        }
    }

    override fun close() {
        processes.values.reversed().forEach { it.close() }
    }

    private fun regions(): List<EstateItem> = layout.zones.map {
        it.region
    }.distinct().map { RegionItem(RegionName(it)) }

    private fun zones(): List<EstateItem> = layout.zones.map { ZoneItem(ZoneName(it.name), RegionName(it.region)) }

    private fun works(): List<EstateItem> = listOf(
        ModelItem(MODEL, "1"),
        ServiceItem(SERVICE, listOf(Operation(READ, idempotent = true), Operation(ACTION, idempotent = false))),
    )

    private fun targets(): List<EstateItem> {
        val models = engines.map { it.item(models = listOf(MODEL)) }
        return models + services.map { it.item(services = listOf(SERVICE)) }
    }

    private fun LocalTarget.item(
        models: List<ModelName> = emptyList(),
        services: List<ServiceName> = emptyList(),
    ): TargetItem = TargetItem(TargetName(name), ZoneName(zone.name), addressOf(this), models, services)

    private fun accounts(): List<EstateItem> =
        layout.accounts.map { AccountItem(AccountName(it.name), RegionName(it.homeRegion)) }

    private fun settingsOf(host: LocalHost): HostSettings = HostSettings(
        host = HostIdentity(HostName(host.name), RegionName(host.zone.region), ZoneName(host.zone.name)),
        listen = ListenAddresses(host.callers.text(), host.administration.text(), host.peers.text()),
        platform = platformOf(platformAddressOf(host)),
        bootstrapHosts = hosts.filter { it != host }.map { it.peers.text() },
        addressMappings = mappingsOf(host),
        sharedKeys = listOf(SharedKey("local", KEY)),
        limits = LimitSettings(controlBytesPerSecond = CONTROL_BYTES_PER_SECOND),
        timeouts = layout.timeouts,
        orders = layout.orders,
    )

    private fun platformOf(address: NetworkAddress): PlatformAddresses =
        PlatformAddresses("http://$address", "http://$address", "http://$address/hosts")

    private fun NetworkAddress.text(): NetworkAddressText = NetworkAddressText(toString())

    private fun start(name: String, mainClass: String, arguments: List<String>) {
        processes[name]?.close()
        processes[name] = ChildProcess.java(name, directory, mainClass, arguments, memoryOf(name))
    }

    /** Names that every local estate shares. */
    public companion object {
        /** The model that every engine serves. */
        public val MODEL: ModelName = ModelName("drafting")

        /** The service that every replica serves. */
        public val SERVICE: ServiceName = ServiceName("findings")

        /** The idempotent operation of the service. */
        public val READ: OperationName = OperationName("read")

        /** The non-idempotent operation of the service. */
        public val ACTION: OperationName = OperationName("condemn")

        private const val STAND_INS = "org.buckthornwheel.standins.MainKt"
        private const val DAEMON = "org.buckthornwheel.daemon.MainKt"
        private const val COMMAND_LINE = "org.buckthornwheel.commandline.MainKt"
        private const val COMMAND_SECONDS = 30L
        private const val CONTROL_BYTES_PER_SECOND = 8_000

        /** Enough for the start of a host and its last decisions, few enough for a build's log. */
        private const val PRINTED_LINES = 30
        private const val KEY_BYTES = 32
        private val KEY = Base64.getEncoder().encodeToString(ByteArray(KEY_BYTES) { it.toByte() })

        private fun freeAddress(): NetworkAddress = NetworkAddress("127.0.0.1", FreePorts.next())

        /** An estate with [layout] in a new temporary directory. */
        public fun of(layout: EstateLayout): LocalEstate =
            LocalEstate(layout, Files.createTempDirectory("buckthornwheel"))
    }
}
