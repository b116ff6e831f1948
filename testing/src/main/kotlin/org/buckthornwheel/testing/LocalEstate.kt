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

/** The name, zone and addresses of a host in a local estate. */
public data class LocalHost(
    public val name: String,
    public val zone: ZoneLayout,
    public val callers: NetworkAddress,
    public val administration: NetworkAddress,
    public val peers: NetworkAddress,
)

/** The name, zone and address of a target in a local estate. */
public data class LocalTarget(public val name: String, public val zone: ZoneLayout, public val address: NetworkAddress)

/**
 * Runs a complete estate as separate processes on the loopback address: the hosts, and stand-ins for the platform and
 * the targets. [close] kills every process.
 *
 * @property directory receives the settings files and the output of the processes.
 */
public class LocalEstate(public val layout: EstateLayout, public val directory: Path) : AutoCloseable {
    private val processes = LinkedHashMap<String, ChildProcess>()

    /** The address of the stand-in for the platform. */
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

    /** The platform address in a host's settings; a test returns that of a proxy here to cut the host off. */
    public var platformAddressOf: (LocalHost) -> NetworkAddress = { platform }

    /** The address mappings in a host's settings; a test maps to proxies here to partition zones. */
    public var addressMappingsOf: (LocalHost) -> List<AddressMapping> = { emptyList() }

    /** The address under which hosts reach a target; a test returns that of a proxy here to break connections. */
    public var addressOf: (LocalTarget) -> NetworkAddress = { it.address }

    /** Changes a host's settings for a test or a measurement. */
    public var changeSettings: (LocalHost, HostSettings) -> HostSettings = { _, settings -> settings }

    /** Returns the JVM memory flags for the process with the given name. */
    public var memoryFlagsOf: (String) -> List<String> = { ChildProcess.SMALL_MEMORY }

    /** Returns the process with the given [name]. */
    public fun process(name: String): ChildProcess = requireNotNull(processes[name]) { "no process is named $name" }

    /** Starts all stand-ins. */
    public fun startStandIns() {
        startPlatform()
        engines.forEach(::startEngine)
        services.forEach(::startService)
    }

    /** Starts the stand-in for the platform. */
    public fun startPlatform() {
        val accounts = layout.accounts.flatMap { listOf("--account", "${it.name}=${it.token}") }
        val listedHosts = hosts.flatMap { listOf("--listed-host", it.peers.toString()) }
        start(
            "platform",
            STAND_INS_MAIN_CLASS,
            listOf("platform", "--port", "${platform.port}") + accounts + listedHosts,
        )
    }

    /** Starts the engine stand-in [target]. */
    public fun startEngine(target: LocalTarget) {
        val arguments = listOf("engine", "--port", "${target.address.port}", "--name", target.name)
        start(target.name, STAND_INS_MAIN_CLASS, arguments + layout.engineArguments)
    }

    /** Starts the replica [target] of the plain service. */
    public fun startService(target: LocalTarget): Unit = start(
        target.name,
        STAND_INS_MAIN_CLASS,
        listOf("plain-service", "--port", "${target.address.port}", "--name", target.name) + layout.serviceArguments,
    )

    /** Starts the daemon of [host]. */
    public fun startHost(host: LocalHost) {
        val file = directory.resolve("${host.name}.json")
        file.writeText(Json.encodeToString(changeSettings(host, settingsOf(host))))

        start(host.name, DAEMON_MAIN_CLASS, listOf("--settings", file.toString()))
    }

    /** Runs the operators' command line with [arguments] against [host] and returns its exit code. */
    public fun runCommandLine(host: LocalHost, arguments: List<String>): Int {
        val name = "command-${processes.size}"
        start(name, COMMAND_LINE_MAIN_CLASS, listOf("--address", "http://${host.administration}") + arguments)
        return requireNotNull(process(name).awaitExit(COMMAND_TIMEOUT_SECONDS)) { "the command did not exit in time" }
    }

    /** Writes [note] to a file from which the command line can submit it. */
    public fun writeNote(note: ReleaseNote): Path {
        val file = directory.resolve("note-${note.id}.json")
        file.writeText(Json.encodeToString(note))
        return file
    }

    /** Returns the first release note, which adds every item of the layout to the empty estate. */
    public fun firstNote(): ReleaseNote = ReleaseNote(
        id = NoteId("first"),
        author = "operator",
        base = Revision.NONE,
        added = regions() + zones() + modelsAndServices() + targets() + accounts(),
    )

    /** Prints the last lines of each process's output, for tests that fail where nobody can open the files. */
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

    private fun modelsAndServices(): List<EstateItem> = listOf(
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
        listen = ListenAddresses(host.callers.toText(), host.administration.toText(), host.peers.toText()),
        platform = platformAddressesAt(platformAddressOf(host)),
        bootstrapHosts = hosts.filter { it != host }.map { it.peers.toText() },
        addressMappings = addressMappingsOf(host),
        sharedKeys = listOf(SharedKey("local", SHARED_KEY)),
        limits = LimitSettings(controlBytesPerSecond = CONTROL_BYTES_PER_SECOND),
        timeouts = layout.timeouts,
        orders = layout.orders,
    )

    private fun platformAddressesAt(address: NetworkAddress): PlatformAddresses =
        PlatformAddresses("http://$address", "http://$address", "http://$address/hosts")

    private fun NetworkAddress.toText(): NetworkAddressText = NetworkAddressText(toString())

    private fun start(name: String, mainClass: String, arguments: List<String>) {
        processes[name]?.close()
        processes[name] = ChildProcess.java(name, directory, mainClass, arguments, memoryFlagsOf(name))
    }

    /** Names used in every local estate. */
    public companion object {
        /** The model that every engine serves. */
        public val MODEL: ModelName = ModelName("drafting")

        /** The service that every replica serves. */
        public val SERVICE: ServiceName = ServiceName("findings")

        /** The idempotent operation of the service. */
        public val READ: OperationName = OperationName("read")

        /** The non-idempotent operation of the service. */
        public val ACTION: OperationName = OperationName("condemn")

        private const val STAND_INS_MAIN_CLASS = "org.buckthornwheel.standins.MainKt"
        private const val DAEMON_MAIN_CLASS = "org.buckthornwheel.daemon.MainKt"
        private const val COMMAND_LINE_MAIN_CLASS = "org.buckthornwheel.commandline.MainKt"
        private const val COMMAND_TIMEOUT_SECONDS = 30L
        private const val CONTROL_BYTES_PER_SECOND = 8_000

        /** Enough for the start of a host and its last decisions, yet short enough for a build log. */
        private const val PRINTED_LINES = 30
        private const val SHARED_KEY_BYTES = 32
        private val SHARED_KEY = Base64.getEncoder().encodeToString(ByteArray(SHARED_KEY_BYTES) { it.toByte() })

        private fun freeAddress(): NetworkAddress = NetworkAddress("127.0.0.1", FreePorts.next())

        /** Creates an estate with [layout] in a new temporary directory. */
        public fun of(layout: EstateLayout): LocalEstate =
            LocalEstate(layout, Files.createTempDirectory("buckthornwheel"))
    }
}
