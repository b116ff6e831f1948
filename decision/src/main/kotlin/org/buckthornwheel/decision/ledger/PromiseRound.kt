package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.serialization.Serializable

/** A registered host's answer to a request for its promise. */
@Serializable
public sealed interface PromiseAnswer {
    /**
     * The key was not in use, and the answering host refuses it to every other host from now on.
     *
     * @property registered the other incarnations that the answering one knows.
     */
    @Serializable
    public data class Granted(public val registered: Set<RegisteredHost>) : PromiseAnswer

    /** The promise is refused because the key is already in use; [hold] is set if a third host holds it. */
    @Serializable
    public data class Seen(public val hold: Hold?) : PromiseAnswer

    /** The asked incarnation has ended, has no complete history yet, is leaving, or its ledger is full. */
    @Serializable
    public data object NotGiven : PromiseAnswer

    /** No answer arrived; the promise may have been given nevertheless. */
    @Serializable
    public data object Silent : PromiseAnswer
}

/** State of a promise round. */
public sealed interface RoundState {
    /** Every registered incarnation has promised. */
    public data object Won : RoundState

    /** The hosts in [toAsk] have not promised yet. */
    public data class Incomplete(public val toAsk: ImmutableSet<RegisteredHost>) : RoundState

    /** This host yields to [holder], which has the key or is preferred; [promised] is the hold that [peer] reported. */
    public data class Yielded(
        public val holder: RegisteredHost,
        public val peer: RegisteredHost,
        public val promised: Hold?,
    ) : RoundState

    /** A peer has promised the key to a host that will yield to this one; the peer has to be asked again. */
    public data object Contended : RoundState

    /** [peer] did not give its promise; null if no peer is registered. */
    public data class Failed(public val peer: RegisteredHost?) : RoundState
}

/** A unanimous vote on one key: [hold] wins if every other registered host promises the key to it. */
public class PromiseRound(
    private val key: ActionKey,
    public val hold: Hold,
    private val ledger: ActionLedger,
    private val registry: ZoneRegistry,
) {
    private val granted = HashSet<RegisteredHost>()
    private val asked = HashSet<RegisteredHost>()

    /** The hosts that may have given a promise in this round. */
    public fun askedPeers(): ImmutableSet<RegisteredHost> = asked.toImmutableSet()

    /** The state with the peers known now; fails if none is registered, as then no host would record the hold. */
    public fun begin(): RoundState = currentState()

    /** Processes the [answers] of the hosts that were asked last. */
    public fun process(answers: Map<RegisteredHost, PromiseAnswer>): RoundState {
        answers.forEach { (peer, answer) -> if (answer is PromiseAnswer.Granted) addPromise(peer, answer) }
        val yielded = answers.entries.firstNotNullOfOrNull { (peer, answer) -> yieldFor(peer, answer) }
        if (yielded != null) return yielded
        val failed = answers.entries.firstOrNull { isFailed(it.value) }
        if (failed != null) return RoundState.Failed(failed.key)
        if (answers.values.any { it is PromiseAnswer.Seen }) return RoundState.Contended
        return currentState()
    }

    private fun addPromise(peer: RegisteredHost, answer: PromiseAnswer.Granted) {
        granted.add(peer)
        registry.add(answer.registered)
    }

    /** Whether, and to which host, this host has to yield because of [answer]; null if it need not. */
    private fun yieldFor(peer: RegisteredHost, answer: PromiseAnswer): RoundState.Yielded? {
        if (answer !is PromiseAnswer.Seen) return null
        val holder = answer.hold?.holder ?: return RoundState.Yielded(peer, peer, promised = null)
        if (holder == ledger.self || !ledger.prefers(key, holder)) return null
        return RoundState.Yielded(holder, peer, answer.hold)
    }

    private fun isFailed(answer: PromiseAnswer): Boolean =
        answer is PromiseAnswer.NotGiven || answer is PromiseAnswer.Silent

    private fun currentState(): RoundState {
        val peers = registry.others()
        if (peers.isEmpty()) return RoundState.Failed(peer = null)
        val toAsk = peers - granted
        if (toAsk.isEmpty()) return RoundState.Won
        asked.addAll(toAsk)
        return RoundState.Incomplete(toAsk.toImmutableSet())
    }
}
