package org.buckthornwheel.daemon.fleet

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.decision.fleet.TargetFleet
import org.buckthornwheel.decision.fleet.TargetLoad
import kotlin.time.Duration.Companion.milliseconds

/** Polls the targets of the local zone for their load. */
internal class LoadPoller(
    private val client: HttpClient,
    private val zone: ZoneName,
    private val estate: EstateHolder,
    private val fleet: TargetFleet,
    private val clock: MonotonicClock,
) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            val current = estate.current()
            fleet.retain { current.target(it) != null }
            coroutineScope {
                current.index.targetsIn(zone).forEach { target -> launch { poll(target) } }
            }
            delay(POLL_INTERVAL)
        }
    }

    private suspend fun poll(target: TargetItem) {
        try {
            val text = withTimeout(TIMEOUT) { client.get("http://${target.address}/load").bodyAsText() }
            val report = format.decodeFromString<TargetReport>(text)
            fleet.report(target.name, TargetLoad(report.running, report.waiting, report.leaving), clock.now())
        } catch (_: TimeoutCancellationException) {
            Part.FLEET.warn("Target ${target.name} did not report its load in time.")
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            Part.FLEET.warn("Target ${target.name} did not report its load: ${failure.message}.")
        }
    }

    @Serializable
    private data class TargetReport(val running: Int, val waiting: Int, val leaving: Boolean = false)

    private companion object {
        val POLL_INTERVAL = 500.milliseconds
        val TIMEOUT = 1_000.milliseconds
        val format = Json { ignoreUnknownKeys = true }
    }
}
