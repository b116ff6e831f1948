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

/** This incarnation's part in its zone's actions: its ledger, its registration, and what keeps both up to date. */
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
    private val register = ZoneRegistry(self)
    private val claims = ClaimStore(store, zone, registry)
    private val peers = ActionPeers(caller)
    private val recorder = ResultRecorder(claims, registry)
    private val registration =
        Registration(ledger, register, ZoneRegistrationPort(self, zone, store, claims, peers), clock)

    /** Answers the zone's other hosts. */
    val handler: ActionPeerHandler = ActionPeerHandler(self, PeerRequestHandler(ledger, register), clock)

    init {
        registry.gauge("buckthornwheel.actions.keys", ledger) { it.size().toDouble() }
        registry.gauge("buckthornwheel.actions.registered", register) { if (it.hasCompleteHistory) 1.0 else 0.0 }
    }

    fun start(background: BackgroundLoops) {
        background.start(Part.ACTION) { follow() }
        background.start(Part.ACTION) { recorder.run() }
    }

    /** Takes [order] from its claim to its end; [dispatch] sends it to a target. */
    suspend fun run(order: AttemptRequest, dispatch: suspend () -> ActionRun): Pair<AttemptVerdict, ActionAttemptPort> {
        awaitRegistration(order)
        val port = ActionAttemptPort(order, claims, peers, recorder, dispatch)
        return ActionAttempt(order, ledger, register).drive(port, clock) to port
    }

    /** Hands the keys over and leaves the register; the requests in progress have ended before. */
    suspend fun leave() {
        ledger.close()
        withTimeoutOrNull(LEAVING) {
            while (recorder.backlog > 0) delay(LOOK)
            registration.leave()
                .onLeft { Part.ACTION.warn("The registration stays: ${it.detail} at ${it.peer}, step ${it.step}.") }
                .onRight { Part.ACTION.info("The keys are handed over and the registration is removed.") }
        } ?: Part.ACTION.warn("The registration stays because the platform or the peers did not answer in time.")
    }

    private suspend fun awaitRegistration(order: AttemptRequest) {
        withTimeoutOrNull(minOf(REGISTRATION_WAIT, order.deadline - clock.now())) {
            while (!register.hasCompleteHistory) delay(LOOK)
        }
    }

    private suspend fun follow() {
        enter()
        while (true) {
            delay(REFRESH)
            registration.refresh()
            ledger.forget(clock.now())
        }
    }

    private suspend fun enter() {
        val started = clock.now()
        while (!register.hasCompleteHistory) {
            registration.join()
                .onLeft { Part.ACTION.warn("The host is not registered yet: ${it.detail} at ${it.peer}.") }
                .onRight { if (it == RegistrationState.HISTORY_INCOMPLETE) Part.ACTION.warn(WAITING) }
            if (clock.now() - started > settings.retryWindowSeconds.seconds) register.markHistoryComplete()
            if (!register.hasCompleteHistory) delay(RETRY)
        }
        Part.ACTION.info("The host is registered as $self and may run actions.")
    }

    private companion object {
        val REGISTRATION_WAIT = 5.seconds
        val LEAVING = 10.seconds
        val REFRESH = 10.seconds
        val RETRY = 500.milliseconds
        val LOOK = 20.milliseconds
        const val WAITING = "No registered host of the zone has its whole memory yet; actions wait."
    }
}
