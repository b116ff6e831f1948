package org.buckthornwheel.decision.ledger

import arrow.core.Either
import arrow.core.right
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.coroutines.Continuation
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.startCoroutine
import kotlin.time.Duration.Companion.hours

class RegistrationTest {
    private val key = ActionKey(AccountName("halvorsen"), "line-7")
    private val now = MonotonicInstant(0)
    private val old = host(slot = 1, incarnation = 1)

    @Nested
    inner class `given an earlier incarnation that claimed an action and has ended` {
        private val self = host(slot = 1, incarnation = 2)
        private val claim = ActionClaim(key, "body", Hold(old, HoldNumber(1)))
        private val ledger = ledgerOf(self)

        init {
            val port = FixedPort(self, predecessor = old, claims = listOf(claim))
            runToEnd { Registration(ledger, ZoneRegistry(self), port, { now }).join() }
        }

        @Test
        fun `its successor refuses to promise the key`() {
            val competitor = Hold(host(slot = 2, incarnation = 1), HoldNumber(1))
            expectThat(ledger.promise(key, "body", competitor, now)).isA<LedgerDecision.Seen>()
        }

        @Test
        fun `its successor does not run the action`() {
            expectThat(ledger.request(key, "body", now)).isA<LedgerDecision.OutcomeLost>()
        }
    }

    @Nested
    inner class `given a host that leaves after it has run an action` {
        @Test
        fun `its peer has the result and refuses to promise the key`() {
            val result = ActionResult.Answered(200, null, "answer", "target")
            val ledger = ledgerOf(host(slot = 2, incarnation = 1))
            val peer = PeerRequestHandler(ledger, ZoneRegistry(ledger.self).apply { markHistoryComplete() })
            val leaving = ledgerOf(old)
            val proceed = leaving.request(key, "body", now) as LedgerDecision.Proceed
            leaving.start(key, proceed.number, now)
            leaving.end(key, proceed.number, result, now)
            peer.handOver((0 until ActionLedger.SHARDS).flatMap { leaving.export(it) }, now)
            val competitor = Hold(host(slot = 3, incarnation = 1), HoldNumber(1))
            expectThat(peer.promise(key, "body", competitor, now)).isA<PromiseAnswer.Seen>()
            expectThat(ledger.request(key, "body", now)).isEqualTo(LedgerDecision.FirstAnswer(result))
        }
    }

    private fun ledgerOf(self: RegisteredHost): ActionLedger = ActionLedger(self, LedgerLimits(1.hours, 1_000))

    private fun host(slot: Int, incarnation: Long): RegisteredHost =
        RegisteredHost(HostName("host-$slot"), Incarnation(incarnation), "10.0.0.$slot:7000")

    private fun <Result> runToEnd(block: suspend () -> Result) {
        block.startCoroutine(Continuation(EmptyCoroutineContext) { it.getOrThrow() })
    }

    /** A platform that always answers; there are no peers. */
    private class FixedPort(
        private val self: RegisteredHost,
        private val predecessor: RegisteredHost,
        private val claims: List<ActionClaim>,
    ) : RegistrationPort {
        override suspend fun registeredAtOwnAddress(): Either<ZoneCallFailure, RegisteredHost?> = predecessor.right()

        override suspend fun claimsOfPredecessors(): Either<ZoneCallFailure, List<ActionClaim>> = claims.right()

        override suspend fun register(predecessor: RegisteredHost?): Either<ZoneCallFailure, Boolean> = true.right()

        override suspend fun registered(): Either<ZoneCallFailure, List<RegisteredHost>> = listOf(self).right()

        override suspend fun unregister(): Either<ZoneCallFailure, Unit> = Unit.right()

        override suspend fun recordPromise(claim: ActionClaim): Either<ZoneCallFailure, Unit> = Unit.right()

        override suspend fun sendHello(peer: RegisteredHost): Either<ZoneCallFailure, HelloAnswer> = error("no peers")

        override suspend fun fetchShard(peer: RegisteredHost, shard: Int): Either<ZoneCallFailure, List<ActionEntry>> =
            error("no peers")

        override suspend fun handOver(
            peer: RegisteredHost,
            entries: List<ActionEntry>,
        ): Either<ZoneCallFailure, Boolean> = error("no peers")

        override suspend fun sendFarewell(
            peer: RegisteredHost,
            registered: Set<RegisteredHost>,
        ): Either<ZoneCallFailure, Unit> = error("no peers")
    }
}
