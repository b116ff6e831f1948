package org.buckthornwheel.decision.ledger

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.buckthornwheel.api.MonotonicClock

/** How far an incarnation has come. */
public enum class RegistrationState {
    /** It may run actions. */
    HISTORY_COMPLETE,

    /** It is registered, but no peer with a whole memory could be reached. */
    HISTORY_INCOMPLETE,
}

/**
 * The steps by which an incarnation enters its zone's register and leaves it.
 *
 * Before it registers, it takes in from the platform what incarnations at its address have claimed: their runs are
 * known to nobody else. After it has registered and said hello, it takes over the keys of one peer that was there all
 * along, so that no promise round can miss both of them.
 */
public class Registration(
    private val ledger: ActionLedger,
    private val register: ZoneRegistry,
    private val port: RegistrationPort,
    private val clock: MonotonicClock,
) {
    private val self = ledger.self
    private var registered = false
    private var foundEmpty: Boolean? = null
    private var first: Boolean? = null

    /** Goes as far as can be now; repeated until it returns [RegistrationState.HISTORY_COMPLETE]. */
    public suspend fun join(): Either<ZoneCallFailure, RegistrationState> = either {
        if (register.hasCompleteHistory) return@either RegistrationState.HISTORY_COMPLETE
        if (!registered) write().bind()
        val known = register.others()
        val list = port.registered().bind()
        register.refresh(known, list)
        if (mayStartEmpty(list) || list.any { it != self && takesOver(it) }) {
            register.markHistoryComplete()
            return@either RegistrationState.HISTORY_COMPLETE
        }
        RegistrationState.HISTORY_INCOMPLETE
    }

    /** Reads the platform's list again, so that hosts that have left do not hold up promise rounds. */
    public suspend fun refresh(): Either<ZoneCallFailure, Unit> = either {
        val known = register.others()
        register.refresh(known, port.registered().bind())
    }

    /** Hands the keys over, removes the registration and says goodbye; after a failure the registration stays. */
    public suspend fun leave(): Either<ZoneCallFailure, Unit> = either {
        ledger.close()
        if (!registered) return@either
        val entries = (0 until ActionLedger.SHARDS).flatMap { ledger.export(it) }
        val others = register.others()
        val kept = others.map { port.handOver(it, entries).getOrNull() == true }
        ensure(
            others.isEmpty() || kept.any {
                it
            },
        ) { ZoneCallFailure("hand over", others.joinToString(), "no peer has taken the keys over") }
        entries.forEach { recordPromise(it).bind() }
        port.unregister().bind()
        others.forEach { port.sendFarewell(it, register.others()) }
    }

    private suspend fun write(): Either<ZoneCallFailure, Unit> = either {
        val predecessor = port.registeredAtOwnAddress().bind()
        if (predecessor != self) {
            if (foundEmpty == null) foundEmpty = port.registered().bind().isEmpty()
            if (predecessor != null) inherit().bind()
            val written = port.register(predecessor).bind()
            ensure(written) {
                ZoneCallFailure("register", self.toString(), "another incarnation is registered at the address")
            }
        }
        registered = true
    }

    private suspend fun inherit(): Either<ZoneCallFailure, Unit> = either {
        port.claimsOfPredecessors().bind().forEach { claim ->
            val result = claim.result ?: ActionResult.Lost("the host that claimed the action has ended")
            ledger.learn(ActionEntry(claim.key, claim.bodySha256, KnownState.Ended(result)), clock.now())
        }
    }

    /** Alone, or the first of an empty zone: there is nobody whose promises could have been missed. */
    private fun mayStartEmpty(list: List<RegisteredHost>): Boolean {
        if (first == null) first = foundEmpty == true && list.firstOrNull() == self
        return first == true || list.all { it == self }
    }

    private suspend fun takesOver(peer: RegisteredHost): Boolean {
        val hello = port.sendHello(peer).getOrNull() ?: return false
        register.add(hello.registered)
        if (!hello.whole) return false
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
