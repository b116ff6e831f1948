package org.buckthornwheel.daemon.action

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.daemon.decodeStored
import org.buckthornwheel.decision.ledger.ActionClaim
import org.buckthornwheel.decision.ledger.ActionEntry
import org.buckthornwheel.decision.ledger.HelloAnswer
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.buckthornwheel.decision.ledger.RegistrationPort
import org.buckthornwheel.decision.ledger.ZoneCallFailure
import org.buckthornwheel.platform.ByteArrayValue
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue
import org.buckthornwheel.platform.WriteResult
import org.buckthornwheel.protocol.peer.ActionAcknowledged
import org.buckthornwheel.protocol.peer.HandOverKeys
import org.buckthornwheel.protocol.peer.HandOverResponse
import org.buckthornwheel.protocol.peer.HelloResponse
import org.buckthornwheel.protocol.peer.KeysResponse
import org.buckthornwheel.protocol.peer.SayFarewell
import org.buckthornwheel.protocol.peer.SayHello
import org.buckthornwheel.protocol.peer.TakeOverKeys

/** Stores the zone's registry in the platform's key-value service, and calls its hosts to join and leave it. */
internal class ZoneRegistrationPort(
    private val self: RegisteredHost,
    zone: ZoneName,
    private val store: KeyValueStore,
    private val claims: ClaimStore,
    private val peers: ActionPeers,
) : RegistrationPort {
    private val prefix = "/buckthornwheel/registrations/$zone/"
    private val ownKey = prefix + self.address

    override suspend fun registeredAtOwnAddress(): Either<ZoneCallFailure, RegisteredHost?> =
        either { store.read(ownKey).bind()?.let { hostOf(it).bind() } }.asCallResult()

    override suspend fun claimsOfPredecessors(): Either<ZoneCallFailure, List<ActionClaim>> =
        claims.list().asCallResult().map { list -> list.filter { it.hold.holder.address == self.address } }

    override suspend fun register(predecessor: RegisteredHost?): Either<ZoneCallFailure, Boolean> = either {
        val value = ByteArrayValue(Json.encodeToString(self).encodeToByteArray())
        val present = store.read(ownKey).asCallResult().bind()
        if (present?.let { hostOf(it).asCallResult().bind() } != predecessor) return@either false
        val result = if (present == null) {
            store.createIfAbsent(ownKey, value)
        } else {
            store.replace(ownKey, value, present.version)
        }
        result.asCallResult().bind() is WriteResult.Written
    }

    override suspend fun registered(): Either<ZoneCallFailure, List<RegisteredHost>> = either {
        val listing = store.list(prefix, null, MAXIMUM_HOSTS).bind()
        listing.values.sortedBy { it.version }.map { hostOf(it).bind() }
    }.asCallResult()

    override suspend fun unregister(): Either<ZoneCallFailure, Unit> = either {
        val present = store.read(ownKey).asCallResult().bind() ?: return@either
        if (hostOf(present).asCallResult().bind() == self) store.delete(ownKey, present.version).asCallResult().bind()
    }

    override suspend fun recordPromise(claim: ActionClaim): Either<ZoneCallFailure, Unit> =
        claims.create(claim).asCallResult().map { }

    override suspend fun sendHello(peer: RegisteredHost): Either<ZoneCallFailure, HelloAnswer> =
        peers.call<HelloResponse>(SayHello(peer, self)).map { it.answer }

    override suspend fun fetchShard(peer: RegisteredHost, shard: Int): Either<ZoneCallFailure, List<ActionEntry>> =
        peers.call<KeysResponse>(TakeOverKeys(peer, shard)).map { it.entries }

    override suspend fun handOver(peer: RegisteredHost, entries: List<ActionEntry>): Either<ZoneCallFailure, Boolean> =
        either {
            entries.chunked(ENTRIES_PER_MESSAGE).ifEmpty { listOf(emptyList()) }.all { chunk ->
                peers.call<HandOverResponse>(HandOverKeys(peer, chunk)).bind().kept
            }
        }

    override suspend fun sendFarewell(
        peer: RegisteredHost,
        registered: Set<RegisteredHost>,
    ): Either<ZoneCallFailure, Unit> = peers.call<ActionAcknowledged>(SayFarewell(peer, self, registered)).map { }

    private fun hostOf(value: StoredValue): Either<PlatformFailure, RegisteredHost> =
        decodeStored("decode registration", value) { Json.decodeFromString<RegisteredHost>(it) }

    private fun <Result> Either<PlatformFailure, Result>.asCallResult(): Either<ZoneCallFailure, Result> =
        mapLeft { ZoneCallFailure(it.step, it.peer, it.detail) }

    private companion object {
        const val MAXIMUM_HOSTS = 1_000
        const val ENTRIES_PER_MESSAGE = 200
    }
}
