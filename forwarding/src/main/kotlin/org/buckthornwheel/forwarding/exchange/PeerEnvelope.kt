/*
 * What a host tells a host of another region about a request that it passes on.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.RouteKind
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** How a request that was certainly not run ended at the host of another region. */
internal enum class PeerOutcome(val text: String) {
    /** No replica got it. */
    NOT_SENT("not-sent"),

    /** Replicas got it and refused. */
    NOT_RUN("not-run"),
}

/** The terms of a request on its way to another region; times in milliseconds. */
@Serializable
internal data class PeerEnvelope(
    val routeName: String,
    val version: Long,
    val service: ServiceName,
    val kind: RouteKind,
    val isResumable: Boolean,
    val priority: Int,
    val targetLatencyMilliseconds: Long,
    val maximumAttempts: Int,
    val homeRegions: Set<RegionName>,
    val remainingMilliseconds: Long,
) {
    /** The terms on the receiving host; the request goes no further than there. */
    fun policy(now: MonotonicInstant): RequestPolicy = RequestPolicy(
        routeName = routeName,
        version = ManifestVersion(version),
        service = service,
        kind = kind,
        isResumable = isResumable,
        priority = priority,
        targetLatency = targetLatencyMilliseconds.milliseconds,
        maximumAttempts = maximumAttempts,
        homeRegions = homeRegions,
        arrivedAt = now,
        deadline = now + remainingMilliseconds.milliseconds,
        mayForward = false,
    )

    /** Encoding. */
    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private const val HEADER = "Gateway-Envelope"
        private const val OUTCOME_HEADER = "Gateway-Outcome"

        /** The envelope for the rest of a request under [terms]. */
        fun of(policy: RequestPolicy, attemptsLeft: Int, now: MonotonicInstant): PeerEnvelope = PeerEnvelope(
            routeName = policy.routeName,
            version = policy.version.value,
            service = policy.service,
            kind = policy.kind,
            isResumable = policy.isResumable,
            priority = policy.priority,
            targetLatencyMilliseconds = policy.targetLatency.inWholeMilliseconds,
            maximumAttempts = attemptsLeft,
            homeRegions = policy.homeRegions,
            remainingMilliseconds = (policy.deadline - now).inWholeMilliseconds,
        )

        fun write(headers: HttpHeaders, envelope: PeerEnvelope) {
            headers.set(HEADER, Base64.getUrlEncoder().encodeToString(Cbor.encodeToByteArray(envelope)))
        }

        /** Takes the envelope out of [headers]; null if there is none that can be read. */
        fun take(headers: HttpHeaders): PeerEnvelope? {
            val text = headers.get(HEADER) ?: return null
            headers.remove(HEADER)
            return try {
                Cbor.decodeFromByteArray<PeerEnvelope>(Base64.getUrlDecoder().decode(text))
            } catch (_: IllegalArgumentException) {
                null
            } catch (_: SerializationException) {
                null
            }
        }

        /** Removes what a caller may have written in the hosts' own headers. */
        fun remove(headers: HttpHeaders) {
            headers.remove(HEADER)
            headers.remove(OUTCOME_HEADER)
        }

        /** Tells the sending host that the request was certainly not run. */
        fun mark(headers: HttpHeaders, outcome: PeerOutcome) {
            headers.set(OUTCOME_HEADER, outcome.text)
        }

        /** What the other host says of a request that was not run; null if it may have run. */
        fun outcome(headers: HttpHeaders): PeerOutcome? =
            PeerOutcome.entries.firstOrNull { it.text == headers.get(OUTCOME_HEADER) }
    }
}
