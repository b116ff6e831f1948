package org.buckthornwheel.scenarios.endurance

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.ZoneLinks
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** A kind of fault that the plan injects and ends again. */
internal enum class FaultKind {
    HOST_KILLED,
    HOST_FROZEN,
    ENGINE_KILLED,
    SERVICE_FROZEN,
    ZONES_CUT,
    PLATFORM_CUT,
    PLATFORM_FROZEN,
}

/** Injects faults into an estate, several at a time, in an order that depends on [random] alone. */
internal class FaultPlan(private val estate: LocalEstate, private val links: ZoneLinks, private val random: Random) {
    /** The injected faults, for the report of a failed run. */
    val injected: MutableList<String> = ArrayList()

    /** Injects [number] faults, one after another; each ends by itself a few seconds later. */
    suspend fun run(scope: CoroutineScope, number: Int) {
        val jobs = List(number) {
            val kind = FaultKind.entries.random(random)
            val durationMilliseconds = random.nextLong(500, 4_000)
            val choice = random.nextInt(1_000)
            delay(random.nextLong(300, 1_500).milliseconds)
            injected += "$kind for $durationMilliseconds ms, choice $choice"
            scope.launch { inject(kind, durationMilliseconds, choice) }
        }
        jobs.forEach { it.join() }
    }

    private suspend fun inject(kind: FaultKind, durationMilliseconds: Long, choice: Int) {
        val host = estate.hosts[choice % estate.hosts.size]
        val zone = host.zone.name
        val other = estate.layout.zones.first { it.name != zone }.name
        val engine = estate.engines[choice % estate.engines.size]
        val service = estate.services[choice % estate.services.size]
        when (kind) {
            FaultKind.HOST_KILLED -> runFor(durationMilliseconds, { estate.process(host.name).kill() }) {
                estate.startHost(host)
            }

            FaultKind.ENGINE_KILLED -> runFor(durationMilliseconds, { estate.process(engine.name).kill() }) {
                estate.startEngine(engine)
            }

            FaultKind.HOST_FROZEN -> freezeFor(host.name, durationMilliseconds)

            FaultKind.SERVICE_FROZEN -> freezeFor(service.name, durationMilliseconds)

            FaultKind.PLATFORM_FROZEN -> freezeFor("platform", durationMilliseconds)

            FaultKind.ZONES_CUT -> runFor(durationMilliseconds, { links.cut(zone, other) }) {
                links.heal(zone, other)
            }

            FaultKind.PLATFORM_CUT -> runFor(durationMilliseconds, { links.cutPlatform(zone) }) {
                links.healPlatform(zone)
            }
        }
    }

    private suspend fun freezeFor(name: String, durationMilliseconds: Long) {
        val process = estate.process(name)
        runFor(durationMilliseconds, { process.freeze() }) { process.thaw() }
    }

    private suspend fun runFor(durationMilliseconds: Long, begin: () -> Unit, end: () -> Unit) {
        begin()
        delay(durationMilliseconds.milliseconds)
        end()
    }
}
