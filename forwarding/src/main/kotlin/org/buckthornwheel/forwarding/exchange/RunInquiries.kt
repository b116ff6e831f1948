/*
 * Asks replicas which run they are, once there is a sign that the known one has ended.
 *
 * Load pattern: a replica crashes and is back under its identifier before its new registration arrives here, or while
 * the store is unavailable. Until a replica has answered, it gets no more requests than a cold one. A replica that has
 * only lost its connections is fully used again after one round trip.
 *
 * Every other call uses a pooled connection if there is one: a replica that resets connections beyond its limit does
 * not accept another one.
 */

package org.buckthornwheel.forwarding.exchange

import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.manifest.ServiceDefinition
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.replica.ReplicaState
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.client.HttpCall
import org.buckthornwheel.forwarding.client.HttpServiceClient
import org.buckthornwheel.forwarding.connection.SignOfEnd
import org.buckthornwheel.forwarding.connection.TargetKey
import org.buckthornwheel.forwarding.connection.TargetPool
import org.buckthornwheel.forwarding.dialect.RequestDialect
import org.buckthornwheel.forwarding.host.RoutingState
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Inquires after the runs of [replicas] whose services limit the requests to cold replicas. Thread-safe. */
internal class RunInquiries(
    private val dialect: RequestDialect,
    private val replicas: ReplicaRegistry,
    private val routingState: RoutingState,
    private val log: DecisionLog,
    private val clock: MonotonicClock,
) {
    private val running = ConcurrentHashMap.newKeySet<ReplicaRun>()

    /**
     * Called on the event loop of [pool] when there is a [sign] that the process at [key] has ended. It may be a later
     * run than that of the key, which was registered after the connection had been opened.
     */
    fun onSignOfEnd(pool: TargetPool, key: TargetKey, sign: SignOfEnd) {
        val path = dialect.runPath ?: return
        val state = replicas.find(ReplicaId(key.owner)) ?: return
        val current = state.current.takeIf { it.address == key.address } ?: return
        val run = ReplicaRun(current.id, current.startedAt)
        val service = routingState.manifest?.services?.get(current.service) ?: return
        sign.absentAt?.let(state.coldness::recordAbsence)
        if (!service.limitsColdReplicas || !state.coldness.recordSignOfEnd(run.startedAt, clock.now())) return
        if (!running.add(run)) return
        write("run doubted", run) { put("reason", sign.reason) }
        Inquiry(run, state, service, path, pool, key.copy(startedAt = run.startedAt)).ask()
    }

    private inner class Inquiry(
        private val run: ReplicaRun,
        private val state: ReplicaState,
        private val service: ServiceDefinition,
        private val path: String,
        private val pool: TargetPool,
        private val key: TargetKey,
    ) {
        private var usesPooled = false
        private var pause = FIRST_PAUSE
        private var timeout = FIRST_TIMEOUT
        private var unclearAnswers = 0

        fun ask() {
            if (!isPending()) return end("registered anew")
            val sentAt = clock.now()
            val pooled = if (usesPooled) pool.takeIdle(key) else null
            if (pooled != null) {
                return PooledCall(pooled, dialect, timeout) { onResult(it, sentAt) }.send(path, state.current.address)
            }
            val client = HttpServiceClient(pool.loop, state.current.address)
            client.call(HttpCall("GET", path, timeout = timeout)) { result ->
                client.close()
                onResult(result, sentAt)
            }
        }

        private fun isPending(): Boolean =
            replicas.find(run.replica) === state && state.coldness.isDoubted(run.startedAt, clock.now())

        private fun onResult(result: CallResult, sentAt: MonotonicInstant) {
            if (!isPending()) return end("registered anew")
            val response = result as? CallResult.Answered ?: return onSilence()
            val startedAt = if (response.status == OK) dialect.readRunStart(response.body) else null
            if (startedAt == null && isUnclear(response) && unclearAnswers < MAXIMUM_UNCLEAR_ANSWERS) {
                unclearAnswers += 1
                return askLater()
            }
            if (startedAt != run.startedAt) return onOtherRun(startedAt, sentAt)
            if (state.coldness.recordRunning(run.startedAt, sentAt)) end("confirmed") else ask()
        }

        /** Whether a replica that says which run it is may respond so at times. */
        private fun isUnclear(response: CallResult.Answered): Boolean =
            response.status == OK || response.status == TOO_MANY_REQUESTS || response.status >= FIRST_SERVER_ERROR

        /** A replica may be too busy to answer in time. */
        private fun onSilence() {
            timeout = minOf(timeout * 2, LONGEST_TIMEOUT)
            state.coldness.recordSignOfEnd(run.startedAt, clock.now())
            askLater()
        }

        private fun askLater() {
            usesPooled = !usesPooled
            pool.loop.schedule(::ask, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            pause = minOf(pause * 2, LONGEST_PAUSE)
        }

        /** The run that answers has started by now, so that it has warmed up a warm-up time later. */
        private fun onOtherRun(startedAt: Long?, sentAt: MonotonicInstant) {
            val warmAt = clock.now() + service.warmUp + WARM_UP_MARGIN
            if (!state.coldness.recordRestart(run.startedAt, startedAt, sentAt, warmAt)) return ask()
            end(if (startedAt == null) "unknown" else "started again")
        }

        /** Another event loop may have seen a sign since the answer, while this inquiry was still running. */
        private fun end(outcome: String) {
            running.remove(run)
            write("run inquired", run) { put("outcome", outcome) }
            if (isPending() && state.coldness.hasUnansweredSign(run.startedAt) && running.add(run)) ask()
        }
    }

    private fun write(event: String, run: ReplicaRun, fields: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit) {
        log.write(LogPart.REPLICA, event) {
            put("replica", run.replica.value)
            put("run", run.startedAt)
            fields()
        }
    }

    private companion object {
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val FIRST_SERVER_ERROR = 500

        /** Answers without a run, besides which the next one means that the replica does not say it. */
        const val MAXIMUM_UNCLEAR_ANSWERS = 4

        /** A replica of the same region answers within milliseconds. */
        val FIRST_TIMEOUT: Duration = 500.milliseconds
        val LONGEST_TIMEOUT: Duration = 2_000.milliseconds
        val FIRST_PAUSE = 50.milliseconds
        val LONGEST_PAUSE = 400.milliseconds

        /** A machine may be slower than the clock of the replica's own warm-up. */
        val WARM_UP_MARGIN = 400.milliseconds
    }
}
