package org.buckthornwheel.decision.ledger

import arrow.core.Either

/** The platform's service or a peer did not answer; what was asked may have been done. */
public data class ZoneCallFailure(public val step: String, public val peer: String, public val detail: String)

/** How an incarnation reaches the platform's service and its peers when it enters or leaves its zone's register. */
public interface RegistrationPort {
    /** The incarnation that is registered at this host's address. */
    public suspend fun registeredAtOwnAddress(): Either<ZoneCallFailure, RegisteredHost?>

    /** The claims of the zone that incarnations at this host's address have written. */
    public suspend fun claimsOfPredecessors(): Either<ZoneCallFailure, List<ActionClaim>>

    /** Registers this incarnation in place of [predecessor]; false if another one stands there by now. */
    public suspend fun register(predecessor: RegisteredHost?): Either<ZoneCallFailure, Boolean>

    /** The registered incarnations of the zone, in the order in which they registered. */
    public suspend fun registered(): Either<ZoneCallFailure, List<RegisteredHost>>

    /** Removes this incarnation's registration. */
    public suspend fun unregister(): Either<ZoneCallFailure, Unit>

    /** Writes a claim for a promise that this host gave, if the platform's service has none. */
    public suspend fun recordPromise(claim: ActionClaim): Either<ZoneCallFailure, Unit>

    /** Says hello to [peer]. */
    public suspend fun sendHello(peer: RegisteredHost): Either<ZoneCallFailure, HelloAnswer>

    /** Takes over [peer]'s keys of [shard]. */
    public suspend fun fetchShard(peer: RegisteredHost, shard: Int): Either<ZoneCallFailure, List<ActionEntry>>

    /** Hands [entries] over to [peer]; false if it cannot keep them. */
    public suspend fun handOver(peer: RegisteredHost, entries: List<ActionEntry>): Either<ZoneCallFailure, Boolean>

    /** Tells [peer] that this incarnation is gone and knew [registered]. */
    public suspend fun sendFarewell(
        peer: RegisteredHost,
        registered: Set<RegisteredHost>,
    ): Either<ZoneCallFailure, Unit>
}
