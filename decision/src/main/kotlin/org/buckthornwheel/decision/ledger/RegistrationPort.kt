package org.buckthornwheel.decision.ledger

import arrow.core.Either

/** Failure of a call to the platform's service or a peer; a call without an answer may have been carried out. */
public data class ZoneCallFailure(public val step: String, public val peer: String, public val detail: String)

/** The calls to the platform's service and to peers with which an incarnation joins and leaves its zone's registry. */
public interface RegistrationPort {
    /** The incarnation that is registered at this host's address. */
    public suspend fun registeredAtOwnAddress(): Either<ZoneCallFailure, RegisteredHost?>

    /** The claims in this zone that incarnations at this host's address have written. */
    public suspend fun claimsOfPredecessors(): Either<ZoneCallFailure, List<ActionClaim>>

    /** Registers this incarnation in place of [predecessor]; false if another one is registered there by now. */
    public suspend fun register(predecessor: RegisteredHost?): Either<ZoneCallFailure, Boolean>

    /** The registered incarnations of the zone, in the order in which they registered. */
    public suspend fun registered(): Either<ZoneCallFailure, List<RegisteredHost>>

    /** Removes this incarnation's registration. */
    public suspend fun unregister(): Either<ZoneCallFailure, Unit>

    /** Creates a claim for a promise that this host gave, unless the platform's service already has one. */
    public suspend fun recordPromise(claim: ActionClaim): Either<ZoneCallFailure, Unit>

    /** Announces this incarnation to [peer]. */
    public suspend fun sendHello(peer: RegisteredHost): Either<ZoneCallFailure, HelloAnswer>

    /** Fetches [peer]'s entries of [shard]. */
    public suspend fun fetchShard(peer: RegisteredHost, shard: Int): Either<ZoneCallFailure, List<ActionEntry>>

    /** Hands [entries] over to [peer]; false if it does not accept responsibility for them. */
    public suspend fun handOver(peer: RegisteredHost, entries: List<ActionEntry>): Either<ZoneCallFailure, Boolean>

    /** Notifies [peer] that this incarnation has left; [registered] are the incarnations that it knew. */
    public suspend fun sendFarewell(
        peer: RegisteredHost,
        registered: Set<RegisteredHost>,
    ): Either<ZoneCallFailure, Unit>
}
