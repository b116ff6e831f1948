package org.buckthornwheel.measurement.load

import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.testing.EstateLayout
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.awaitUntil

/**
 * A local estate of real processes for load tests.
 *
 * Daemons have the memory of an entry host, and accounts are practically unlimited.
 *
 * @property targetCapacity concurrent requests declared as the capacity of each target.
 * @property daemonJvmFlags additional JVM flags of each daemon.
 * @property additionalItems items that the estate declares in addition to the layout.
 */
public class LoadEstate(
    layout: EstateLayout,
    private val targetCapacity: Int,
    private val daemonJvmFlags: List<String> = emptyList(),
    private val additionalItems: List<EstateItem> = emptyList(),
) : AutoCloseable {
    /** The processes of the estate. */
    public val processes: LocalEstate = LocalEstate.of(layout).apply { memoryFlagsOf = ::jvmFlagsOf }

    /** The first host. */
    public val host: LocalHost get() = processes.hosts.first()

    /** Starts all processes and waits until every host has applied the estate and is ready. */
    public suspend fun start() {
        processes.startStandIns()
        processes.hosts.forEach(processes::startHost)
        Operator().use { operator ->
            processes.hosts.forEach { awaitUntil("${it.name} answers") { operator.hosts(it).isNotEmpty() } }
            awaitUntil("the note is accepted") { operator.submit(host, note()).accepted }
            processes.hosts.forEach { awaitUntil("${it.name} is ready") { operator.isReady(it) } }
        }
    }

    /** Meter of the resource usage of [host]'s process. */
    public fun meter(host: LocalHost): ProcessMeter =
        ProcessMeter(processes.process(host.name).identifier, garbageCollectionLog(host.name))

    override fun close(): Unit = processes.close()

    private fun note(): ReleaseNote = processes.firstNote().let {
        it.copy(
            added =
            it.added.map(::unlimited) + additionalItems,
        )
    }

    private fun unlimited(item: EstateItem): EstateItem = when (item) {
        is AccountItem -> item.copy(requestsPerSecond = UNLIMITED.toDouble(), requestsInFlight = UNLIMITED)
        is TargetItem -> item.copy(capacity = targetCapacity)
        else -> item
    }

    private fun jvmFlagsOf(name: String): List<String> {
        if (processes.hosts.none { it.name == name }) return STAND_IN_JVM_FLAGS
        return DAEMON_JVM_FLAGS + "-Xlog:gc:file=${garbageCollectionLog(name)}" + daemonJvmFlags
    }

    private fun garbageCollectionLog(name: String) = processes.directory.resolve("$name.gc.log")

    private companion object {
        const val UNLIMITED = 1_000_000
        val DAEMON_JVM_FLAGS = listOf("-Xmx256m", "-Xmn48m", "-XX:+UseSerialGC")
        val STAND_IN_JVM_FLAGS = listOf("-Xmx256m", "-XX:+UseSerialGC")
    }
}
