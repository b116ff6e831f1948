package org.buckthornwheel.forwarding.membership

import io.netty.channel.EventLoop
import kotlinx.serialization.json.put
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.entry.EntryHostProfile
import org.buckthornwheel.decision.entry.InquiredHosts
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.client.HttpCall
import org.buckthornwheel.forwarding.client.HttpServiceClient
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Asks other hosts what they have in force, for a host that cannot tell whether the store is current.
 *
 * The next host is asked when one fails, or has not answered for [HEDGE_DELAY]. Used on [loop].
 */
public class EstateInquiry(
    private val self: EntryHostProfile,
    private val loop: EventLoop,
    private val log: DecisionLog,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    /**
     * Asks some of [candidates]. Passes each answer to [onAnswer], which returns whether it is sufficient.
     *
     * Calls [onEnd] once: after a sufficient answer, when no asked host is left, or after [LIMIT].
     *
     * @param version version of the newest manifest known here; a newer one is part of the answer.
     */
    public fun ask(
        candidates: Collection<EntryHostProfile>,
        version: Long,
        onAnswer: (String) -> Boolean,
        onEnd: () -> Unit,
    ) {
        Round(InquiredHosts.of(self, candidates), version, onAnswer, onEnd).start()
    }

    private inner class Round(
        private val hosts: List<EntryHostProfile>,
        private val version: Long,
        private val onAnswer: (String) -> Boolean,
        private val onEnd: () -> Unit,
    ) {
        private val startedAt = clock.now()
        private var asked = 0
        private var answered = 0
        private var open = 0
        private var isEnded = false

        fun start() {
            loop.schedule({ end("limit reached") }, LIMIT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            askNext()
        }

        private fun askNext() {
            if (isEnded) return
            val host = hosts.getOrNull(asked) ?: return endIfNoneIsOpen()
            asked += 1
            open += 1
            val client = HttpServiceClient(loop, host.peerAddress)
            client.call(HttpCall("GET", "$PATH?$VERSION=$version", timeout = LIMIT)) { result ->
                client.close()
                open -= 1
                onResult(result)
            }
            val askedBefore = asked
            loop.schedule(
                { if (asked == askedBefore) askNext() },
                HEDGE_DELAY.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
        }

        private fun onResult(result: CallResult) {
            if (isEnded) return
            if (result is CallResult.Answered && result.status == OK) {
                answered += 1
                if (onAnswer(result.body)) return end("sufficient answer")
            }
            askNext()
        }

        private fun endIfNoneIsOpen() {
            if (open == 0) end("no host left")
        }

        private fun end(reason: String) {
            if (isEnded) return
            isEnded = true
            log.write(LogPart.STORE, "other hosts asked") {
                put("reason", reason)
                put("version", version)
                put("asked", asked)
                put("answered", answered)
                put("milliseconds", (clock.now() - startedAt).inWholeMilliseconds)
            }
            onEnd()
        }
    }

    internal companion object {
        /** Path and parameter of the request between hosts. */
        const val PATH = "/estate-in-force"
        const val VERSION = "version"
        private const val OK = 200

        /** A new connection and a response take two round trips between regions (110 ms each, users' sheets). */
        val LIMIT = 500.milliseconds

        /** Longer than a host of the same region takes to answer. */
        val HEDGE_DELAY = 100.milliseconds
    }
}
