/*
 * The header in which a host describes a forwarded request to a host of another region.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.decision.replica.SoftwareVersion
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/**
 * Why the host of another region rejected a request that certainly no replica ran.
 *
 * @property hasArrived whether a replica received the request.
 */
internal enum class PeerOutcome(val text: String, val hasArrived: Boolean) {
    /** The request was not sent to any replica. */
    NOT_SENT("not-sent", hasArrived = false),

    /** Replicas received the request and refused it. */
    NOT_RUN("not-run", hasArrived = true),

    /** The host is stopping and did not send the request to any replica; other hosts of its region may. */
    HOST_STOPPING("host-stopping", hasArrived = false),

    /** Only replicas that were not the intended ones received the request. */
    WRONG_REPLICA("wrong-replica", hasArrived = true),
}

/**
 * The policy of a request that is forwarded to another region; times are in milliseconds.
 *
 * @property account the client account for which the first host accepted the request. It is trusted: hosts remove the
 *   envelope that a caller sends, and only hosts reach the listener that reads it.
 * @property origin the host that accepted the request from its caller; null if it is of an earlier build.
 * @property softwareVersion the only software version that may serve it; null if all may.
 */
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
    val account: AccountName? = null,
    val origin: HostName? = null,
    val softwareVersion: String? = null,
) {
    /**
     * The policy of the request on the receiving host, which must not forward it again; [hasAccounts] is whether that
     * host knows of client accounts.
     */
    fun policy(now: MonotonicInstant, hasAccounts: Boolean = false): RequestPolicy = RequestPolicy(
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
        account = account,
        hasAccounts = hasAccounts || account != null,
        origin = origin,
        softwareVersion = softwareVersion?.let(::SoftwareVersion),
    )

    /** Encoding and decoding. */
    @OptIn(ExperimentalSerializationApi::class)
    companion object {
        private const val HEADER = "Gateway-Envelope"
        private const val OUTCOME_HEADER = "Gateway-Outcome"

        /** Ignores fields of later builds. */
        private val CODEC = Cbor { ignoreUnknownKeys = true }

        /** The envelope for the remaining time and attempts of a request with [policy], sent by the host [origin]. */
        fun of(policy: RequestPolicy, attemptsLeft: Int, origin: HostName, now: MonotonicInstant): PeerEnvelope =
            PeerEnvelope(
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
                account = policy.account,
                origin = origin,
                softwareVersion = policy.softwareVersion?.value,
            )

        fun write(headers: HttpHeaders, envelope: PeerEnvelope) {
            headers.set(HEADER, Base64.getUrlEncoder().encodeToString(CODEC.encodeToByteArray(envelope)))
        }

        /** Whether a request with [headers] was forwarded; only hosts set the header. */
        fun isIn(headers: HttpHeaders): Boolean = headers.contains(HEADER)

        /** Removes the envelope from [headers] and returns it; null if it is missing or cannot be decoded. */
        fun extract(headers: HttpHeaders): PeerEnvelope? {
            val text = headers.get(HEADER) ?: return null
            headers.remove(HEADER)
            return try {
                CODEC.decodeFromByteArray<PeerEnvelope>(Base64.getUrlDecoder().decode(text))
            } catch (_: IllegalArgumentException) {
                null
            } catch (_: IndexOutOfBoundsException) {
                null
            }
        }

        /** Removes the headers that only hosts may set, since a caller or a replica may have sent them. */
        fun remove(headers: HttpHeaders) {
            headers.remove(HEADER)
            headers.remove(OUTCOME_HEADER)
        }

        /** Tells the forwarding host that the request was certainly not run. */
        fun setOutcome(headers: HttpHeaders, outcome: PeerOutcome) {
            headers.set(OUTCOME_HEADER, outcome.text)
        }

        /**
         * The outcome that the other host reports for a request that was not run; null if the request may have run.
         * A stopping host announces that it closes the connection.
         */
        fun outcome(headers: HttpHeaders): PeerOutcome? {
            val reported = PeerOutcome.entries.firstOrNull { it.text == headers.get(OUTCOME_HEADER) }
            val isStopping = headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)
            return if (reported == PeerOutcome.NOT_SENT && isStopping) PeerOutcome.HOST_STOPPING else reported
        }
    }
}
