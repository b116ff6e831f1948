package org.buckthornwheel.daemon.action

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.daemon.BackgroundLoops
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.peer.PeerCaller
import org.buckthornwheel.decision.ledger.ActionAttempt
import org.buckthornwheel.decision.ledger.ActionLedger
import org.buckthornwheel.decision.ledger.AttemptRequest
import org.buckthornwheel.decision.ledger.AttemptVerdict
import org.buckthornwheel.decision.ledger.LedgerLimits
import org.buckthornwheel.decision.ledger.PeerRequestHandler
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.decision.ledger.Registration
import org.buckthornwheel.decision.ledger.RegistrationState
import org.buckthornwheel.decision.ledger.ZoneRegistry
import org.buckthornwheel.decision.ledger.drive
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.settings.ActionSettings
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the zone's actions at this incarnation and keeps its ledger and its registration up to date. */
internal class ActionZone(
    private val self: RegisteredHost,
    val zone: ZoneName,
    private val settings: ActionSettings,
    store: KeyValueStore,
    caller: PeerCaller,
    registry: MeterRegistry,
    private val clock: MonotonicClock,
) {
    private val ledger = ActionLedger(self, LedgerLimits(settings.retryWindowSeconds.seconds, settings.maximumKeys))
    private val zoneRegistry = ZoneRegistry(self)
    private val claims = ClaimStore(store, zone, registry)
    private val peers = ActionPeers(caller)
    private val recorder = ResultRecorder(claims, registry)
    private val registration =
        Registration(ledger, zoneRegistry, ZoneRegistrationPort(self, zone, store, claims, peers), clock)

    /** Answers action requests from the zone's other hosts. */
    val handler: ActionPeerHandler = ActionPeerHandler(self, PeerRequestHandler(ledger, zoneRegistry), clock)

    init {
        registry.gauge("buckthornwheel.actions.keys", ledger) { it.size().toDouble() }
        registry.gauge("buckthornwheel.actions.registered", zoneRegistry) { if (it.hasCompleteHistory) 1.0 else 0.0 }
    }

    fun start(background: BackgroundLoops) {
        background.start(Part.ACTION) { maintainRegistration() }
        background.start(Part.ACTION) { recorder.run() }
    }

    /** Runs an attempt for [request], from its claim to its verdict; [dispatch] sends the action to a target. */
    suspend fun run(
        request: AttemptRequest,
        dispatch: suspend () -> ActionRun,
    ): Pair<AttemptVerdict, ActionAttemptPort> {
        awaitRegistration(request)
        val port = ActionAttemptPort(request, claims, peers, recorder, dispatch)
        return ActionAttempt(request, ledger, zoneRegistry).drive(port, clock) to port
    }

    /** Hands the keys over and removes the registration; called after the requests in progress have ended. */
    suspend fun leave() {
        ledger.close()
        withTimeoutOrNull(LEAVE_TIMEOUT) {
            while (recorder.backlog > 0) delay(POLL_INTERVAL)
            registration.leave()
                .onLeft { Part.ACTION.warn("The registration is kept: ${it.detail} at ${it.peer}, step ${it.step}.") }
                .onRight { Part.ACTION.info("The keys have been handed over and the registration has been removed.") }
        } ?: Part.ACTION.warn("The registration is kept: the platform or the peers did not answer in time.")
    }

    private suspend fun awaitRegistration(request: AttemptRequest) {
        withTimeoutOrNull(minOf(REGISTRATION_TIMEOUT, request.deadline - clock.now())) {
            while (!zoneRegistry.hasCompleteHistory) delay(POLL_INTERVAL)
        }
    }

    private suspend fun maintainRegistration() {
        joinZone()
        while (true) {
            delay(REFRESH_INTERVAL)
            registration.refresh()
            ledger.forget(clock.now())
        }
    }

    private suspend fun joinZone() {
        val startedAt = clock.now()
        while (!zoneRegistry.hasCompleteHistory) {
            registration.join()
                .onLeft { Part.ACTION.warn("The host is not registered yet: ${it.detail} at ${it.peer}.") }
                .onRight { if (it == RegistrationState.HISTORY_INCOMPLETE) Part.ACTION.warn(NO_COMPLETE_HISTORY) }
            if (clock.now() - startedAt > settings.retryWindowSeconds.seconds) zoneRegistry.markHistoryComplete()
            if (!zoneRegistry.hasCompleteHistory) delay(RETRY_DELAY)
        }
        Part.ACTION.info("The host is registered as $self and may run actions.")
    }

    private companion object {
        val REGISTRATION_TIMEOUT = 5.seconds
        val LEAVE_TIMEOUT = 10.seconds
        val REFRESH_INTERVAL = 10.seconds
        val RETRY_DELAY = 500.milliseconds
        val POLL_INTERVAL = 20.milliseconds
        const val NO_COMPLETE_HISTORY = "No registered host of the zone has the complete history; actions are delayed."
    }
}
