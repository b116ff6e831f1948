/*
 * Hedged attempts of one request: a second attempt at another replica if the first one is late.
 */

package org.buckthornwheel.forwarding.exchange

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.serialization.json.put
import org.buckthornwheel.decision.attempt.HedgeVerdict
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.TimeUnit

/**
 * Watches the first attempt of a request and hedges it once.
 *
 * @param next the placement of a second attempt beside a given one; null if none may be sent.
 * @param send sends the second attempt.
 */
internal class Hedging(
    private val context: ForwardingContext,
    private val loop: EventLoop,
    private val request: ReceivedRequest,
    private val attempts: RunningAttempts,
    private val next: (ReplicaAttempt) -> PlacementResult.Attempting?,
    private val send: (PlacementResult.Attempting) -> Unit,
) {
    private val policy = request.policy
    private var first: ReplicaAttempt? = null
    private var second: Attempt? = null
    private var timer: ScheduledFuture<*>? = null

    /** Called when [attempt] begins; only the first one of a request that may be repeated is hedged. */
    fun onBegin(attempt: Attempt) {
        if (first != null || attempt !is ReplicaAttempt || !policy.isRetryable) return
        first = attempt
        context.hedges.recordRequest(policy.service, context.clock.now())
        val delay = context.hedges.delay(policy.service, attempt.predicted) ?: return
        timer = loop.schedule(::onLate, delay.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
    }

    private fun onLate() {
        val late = first?.takeIf { attempts.isOnly(it) && !it.hasStartedResponding } ?: return
        val hedge = next(late) ?: return
        second = hedge.attempt
        context.log.write(LogPart.REQUEST, "hedged") {
            put("request", request.metadata.id.value)
            put("late", late.replica.value)
            put("milliseconds", late.elapsed.inWholeMilliseconds)
        }
        send(hedge)
    }

    /** Called when the response of [winner] is about to reach the caller. */
    fun onResponding(winner: Attempt) {
        val late = first ?: return
        val hasWon = winner === second
        if (hasWon) context.hedges.recordStart(policy.service, late.predicted, late.elapsed)
        end(hasWon)
    }

    /** Called when the request has ended. */
    fun onEnd() {
        timer?.cancel(false)
        end(hasWon = false)
    }

    private fun end(hasWon: Boolean) {
        if (second == null) return
        second = null
        context.hedges.recordEnd(policy.service, hasWon, context.clock.now())
        context.meters.hedgeEnded(hasWon)
    }

    internal companion object {
        /** Records why an attempt was or was not hedged; returns whether it may be. */
        fun isPermitted(context: ForwardingContext, verdict: HedgeVerdict): Boolean {
            context.meters.hedgeDecided(verdict)
            return verdict == HedgeVerdict.PERMITTED
        }
    }
}
