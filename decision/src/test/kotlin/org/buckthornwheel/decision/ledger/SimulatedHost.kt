package org.buckthornwheel.decision.ledger

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.MonotonicInstant
import kotlin.time.Duration.Companion.hours

/** The platform's service: claims, registrations, and the addresses of hosts that cannot reach it ([cutOff]). */
internal class SimulatedPlatform : Process() {
    val claims = HashMap<ActionKey, ActionClaim>()
    val registrations = LinkedHashMap<String, RegisteredHost>()
    val cutOff = HashSet<String>()
}

/** One incarnation with the real ledger, registry, request handler and registration, on a simulated network. */
internal class SimulatedHost(slot: Int, incarnation: Long, private val zone: SimulatedZone) :
    Process(),
    RegistrationPort {
    val self = RegisteredHost(HostName("host-$slot"), Incarnation(incarnation), "10.0.0.$slot:7000")
    val clock = MonotonicClock { MonotonicInstant(zone.network.step * NANOSECONDS_PER_STEP) }
    val ledger = ActionLedger(self, LedgerLimits(1.hours, maximumKeys = 1_000))
    val registry = ZoneRegistry(self)
    val peer = PeerRequestHandler(ledger, registry)
    val registration = Registration(ledger, registry, this, clock)
    private val platform = zone.platform

    suspend fun <Result : Any> askPlatform(handler: () -> Result): Either<ZoneCallFailure, Result> =
        zone.network.call(this, platform, { self.address !in platform.cutOff }, handler).orNoAnswer()

    suspend fun <Result : Any> askPeer(
        other: RegisteredHost,
        handler: (PeerRequestHandler) -> Result,
    ): Either<ZoneCallFailure, Result> {
        val recipient = zone.hosts.firstOrNull { it.self == other && it.alive } ?: return unanswered.left()
        return zone.network.call(this, recipient) { handler(recipient.peer) }.orNoAnswer()
    }

    override suspend fun registeredAtOwnAddress(): Either<ZoneCallFailure, RegisteredHost?> =
        askPlatform { StoredRegistration(platform.registrations[self.address]) }.map { it.host }

    override suspend fun claimsOfPredecessors(): Either<ZoneCallFailure, List<ActionClaim>> =
        askPlatform { platform.claims.values.filter { it.hold.holder.address == self.address } }

    override suspend fun register(predecessor: RegisteredHost?): Either<ZoneCallFailure, Boolean> = askPlatform {
        val matches = platform.registrations[self.address] == predecessor
        if (matches) {
            platform.registrations.remove(self.address)
            platform.registrations[self.address] = self
        }
        matches
    }

    override suspend fun registered(): Either<ZoneCallFailure, List<RegisteredHost>> =
        askPlatform { platform.registrations.values.toList() }

    override suspend fun unregister(): Either<ZoneCallFailure, Unit> =
        askPlatform { platform.registrations.remove(self.address, self) }.map { }

    override suspend fun recordPromise(claim: ActionClaim): Either<ZoneCallFailure, Unit> =
        askPlatform { platform.claims.putIfAbsent(claim.key, claim) ?: claim }.map { }

    override suspend fun sendHello(peer: RegisteredHost): Either<ZoneCallFailure, HelloAnswer> = askPeer(peer) {
        it.handleHello(self)
    }

    override suspend fun fetchShard(peer: RegisteredHost, shard: Int): Either<ZoneCallFailure, List<ActionEntry>> =
        askPeer(peer) { it.exportShard(shard) }

    override suspend fun handOver(peer: RegisteredHost, entries: List<ActionEntry>): Either<ZoneCallFailure, Boolean> =
        askPeer(peer) { it.handOver(entries, clock.now()) }

    override suspend fun sendFarewell(
        peer: RegisteredHost,
        registered: Set<RegisteredHost>,
    ): Either<ZoneCallFailure, Unit> = askPeer(peer) { it.handleFarewell(self, registered) }

    private data class StoredRegistration(val host: RegisteredHost?)

    private fun <Result : Any> Result?.orNoAnswer(): Either<ZoneCallFailure, Result> =
        this?.right() ?: unanswered.left()

    companion object {
        const val NANOSECONDS_PER_STEP = 1_000_000L
        val unanswered = ZoneCallFailure("call", "peer", "lost")
    }
}
