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
 * A running local estate whose daemons have the memory of an entry host and whose accounts are not limited.
 *
 * @property targetCapacity requests that each target is declared to work on at once.
 * @property daemonFlags further flags of each daemon's Java machine.
 * @property furtherItems what the estate declares beside the layout.
 */
public class LoadEstate(
    layout: EstateLayout,
    private val targetCapacity: Int,
    private val daemonFlags: List<String> = emptyList(),
    private val furtherItems: List<EstateItem> = emptyList(),
) : AutoCloseable {
    /** The processes. */
    public val processes: LocalEstate = LocalEstate.of(layout).apply { memoryFlagsOf = ::flagsOf }

    /** The first host. */
    public val host: LocalHost get() = processes.hosts.first()

    /** Starts everything and puts the estate in force on every host. */
    public suspend fun start() {
        processes.startStandIns()
        processes.hosts.forEach(processes::startHost)
        Operator().use { operator ->
            processes.hosts.forEach { awaitUntil("${it.name} answers") { operator.hosts(it).isNotEmpty() } }
            awaitUntil("the note is accepted") { operator.submit(host, note()).accepted }
            processes.hosts.forEach { awaitUntil("${it.name} is ready") { operator.isReady(it) } }
        }
    }

    /** What reads the use of [host]'s process. */
    public fun meter(host: LocalHost): ProcessMeter =
        ProcessMeter(processes.process(host.name).identifier, garbageLog(host.name))

    override fun close(): Unit = processes.close()

    private fun note(): ReleaseNote = processes.firstNote().let {
        it.copy(
            added =
            it.added.map(::unlimited) + furtherItems,
        )
    }

    private fun unlimited(item: EstateItem): EstateItem = when (item) {
        is AccountItem -> item.copy(requestsPerSecond = UNLIMITED.toDouble(), requestsInFlight = UNLIMITED)
        is TargetItem -> item.copy(capacity = targetCapacity)
        else -> item
    }

    private fun flagsOf(name: String): List<String> {
        if (processes.hosts.none { it.name == name }) return STAND_IN_FLAGS
        return DAEMON_FLAGS + "-Xlog:gc:file=${garbageLog(name)}" + daemonFlags
    }

    private fun garbageLog(name: String) = processes.directory.resolve("$name.gc.log")

    private companion object {
        const val UNLIMITED = 1_000_000
        val DAEMON_FLAGS = listOf("-Xmx256m", "-Xmn48m", "-XX:+UseSerialGC")
        val STAND_IN_FLAGS = listOf("-Xmx256m", "-XX:+UseSerialGC")
    }
}
