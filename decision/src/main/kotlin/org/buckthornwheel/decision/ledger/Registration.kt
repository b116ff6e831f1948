package org.buckthornwheel.decision.ledger

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.buckthornwheel.api.MonotonicClock

/** State of an incarnation that is registered in its zone. */
public enum class RegistrationState {
    /** It has the complete action history of its zone and may run actions. */
    HISTORY_COMPLETE,

    /** It may not run actions yet, because no peer with a complete history could be reached. */
    HISTORY_INCOMPLETE,
}

/**
 * Registers an incarnation in its zone and removes it when it leaves.
 *
 * Before it registers, it reads from the platform the claims of earlier incarnations at its address, because no other
 * host knows of their runs. After it has registered and announced itself, it copies the keys of one peer with a
 * complete history, so that every promise round involves at least one of the two.
 */
public class Registration(
    private val ledger: ActionLedger,
    private val registry: ZoneRegistry,
    private val port: RegistrationPort,
    private val clock: MonotonicClock,
) {
    private val self = ledger.self
    private var registered = false
    private var registryWasEmpty: Boolean? = null
    private var isFirstInZone: Boolean? = null

    /** Continues the registration as far as possible; called until it returns [RegistrationState.HISTORY_COMPLETE]. */
    public suspend fun join(): Either<ZoneCallFailure, RegistrationState> = either {
        if (registry.hasCompleteHistory) return@either RegistrationState.HISTORY_COMPLETE
        if (!registered) register().bind()
        val knownBefore = registry.others()
        val list = port.registered().bind()
        registry.refresh(knownBefore, list)
        if (mayStartWithoutHistory(list) || list.any { it != self && tryCopyHistory(it) }) {
            registry.markHistoryComplete()
            return@either RegistrationState.HISTORY_COMPLETE
        }
        RegistrationState.HISTORY_INCOMPLETE
    }

    /** Updates the registry from the platform, so that promise rounds do not wait for hosts that have left. */
    public suspend fun refresh(): Either<ZoneCallFailure, Unit> = either {
        val knownBefore = registry.others()
        registry.refresh(knownBefore, port.registered().bind())
    }

    /** Hands the keys over, removes the registration and notifies the peers; keeps the registration on failure. */
    public suspend fun leave(): Either<ZoneCallFailure, Unit> = either {
        ledger.close()
        if (!registered) return@either
        val entries = (0 until ActionLedger.SHARDS).flatMap { ledger.export(it) }
        val others = registry.others()
        val accepted = others.map { port.handOver(it, entries).getOrNull() == true }
        ensure(others.isEmpty() || accepted.any { it }) {
            ZoneCallFailure("hand over", others.joinToString(), "no peer has accepted the keys")
        }
        entries.forEach { recordPromise(it).bind() }
        port.unregister().bind()
        others.forEach { port.sendFarewell(it, registry.others()) }
    }

    private suspend fun register(): Either<ZoneCallFailure, Unit> = either {
        val predecessor = port.registeredAtOwnAddress().bind()
        if (predecessor != self) {
            if (registryWasEmpty == null) registryWasEmpty = port.registered().bind().isEmpty()
            if (predecessor != null) learnPredecessorClaims().bind()
            val written = port.register(predecessor).bind()
            ensure(written) {
                ZoneCallFailure("register", self.toString(), "another incarnation is registered at the address")
            }
        }
        registered = true
    }

    private suspend fun learnPredecessorClaims(): Either<ZoneCallFailure, Unit> = either {
        port.claimsOfPredecessors().bind().forEach { claim ->
            val result = claim.result ?: ActionResult.Lost("the host that claimed the action has ended")
            ledger.learn(ActionEntry(claim.key, claim.bodySha256, KnownState.Ended(result)), clock.now())
        }
    }

    /** Whether no other host can have given a promise: this one is alone or the first to register in an empty zone. */
    private fun mayStartWithoutHistory(list: List<RegisteredHost>): Boolean {
        if (isFirstInZone == null) isFirstInZone = registryWasEmpty == true && list.firstOrNull() == self
        return isFirstInZone == true || list.all { it == self }
    }

    private suspend fun tryCopyHistory(peer: RegisteredHost): Boolean {
        val hello = port.sendHello(peer).getOrNull() ?: return false
        registry.add(hello.registered)
        if (!hello.hasCompleteHistory) return false
        return (0 until ActionLedger.SHARDS).all { shard ->
            port.fetchShard(peer, shard).onRight { entries ->
                entries.forEach { ledger.learn(it, clock.now()) }
            }.isRight()
        }
    }

    private suspend fun recordPromise(entry: ActionEntry): Either<ZoneCallFailure, Unit> = either {
        val state = entry.state
        if (state !is KnownState.HeldElsewhere) return@either
        port.recordPromise(ActionClaim(entry.key, entry.bodySha256, state.hold)).bind()
    }
}
