package org.buckthornwheel.decision.ledger

import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import kotlinx.serialization.Serializable

/** What one registered host answers to a request for its promise. */
@Serializable
public sealed interface PromiseAnswer {
    /** Not seen, and refused from now on; [registered] are the other incarnations that the answering one knows. */
    @Serializable
    public data class Granted(public val registered: Set<RegisteredHost>) : PromiseAnswer

    /** The key was seen there; [hold] names the holder if that is yet another host. */
    @Serializable
    public data class Seen(public val hold: Hold?) : PromiseAnswer

    /** The asked incarnation is not there, not yet whole, leaving or full. */
    @Serializable
    public data object NotGiven : PromiseAnswer

    /** No answer came; the promise may have been given all the same. */
    @Serializable
    public data object Silent : PromiseAnswer
}

/** Where a round stands after some answers. */
public sealed interface RoundState {
    /** Every registered incarnation has promised. */
    public data object Won : RoundState

    /** These have still to be asked. */
    public data class Incomplete(public val toAsk: ImmutableSet<RegisteredHost>) : RoundState

    /** [holder] has the key or comes before this host; [promised] is what [peer] has promised it, if that was told. */
    public data class Withdrawn(
        public val holder: RegisteredHost,
        public val peer: RegisteredHost,
        public val promised: Hold?,
    ) : RoundState

    /** A promise was given to a host that has to withdraw in favour of this one; it is asked for again. */
    public data object Crossed : RoundState

    /** A promise could not be had from [peer]. */
    public data class Failed(public val peer: RegisteredHost?) : RoundState
}

/** One host's attempt to gather the promises of all others for one key. */
public class PromiseRound(
    private val key: ActionKey,
    public val hold: Hold,
    private val ledger: ActionLedger,
    private val register: ZoneRegistry,
) {
    private val granted = HashSet<RegisteredHost>()
    private val asked = HashSet<RegisteredHost>()

    /** Whoever may have given a promise in this round. */
    public fun asked(): ImmutableSet<RegisteredHost> = asked.toImmutableSet()

    /** Whom to ask, as far as known; a host without registered peers has nobody who remembers and asks in vain. */
    public fun begin(): RoundState = standing()

    /** Takes in the [answers] of the hosts that were asked last. */
    public fun take(answers: Map<RegisteredHost, PromiseAnswer>): RoundState {
        answers.forEach { (peer, answer) -> if (answer is PromiseAnswer.Granted) grant(peer, answer) }
        val seen = answers.entries.firstNotNullOfOrNull { (peer, answer) -> withdrawal(peer, answer) }
        if (seen != null) return seen
        val missing = answers.entries.firstOrNull { isMissing(it.value) }
        if (missing != null) return RoundState.Failed(missing.key)
        if (answers.values.any { it is PromiseAnswer.Seen }) return RoundState.Crossed
        return standing()
    }

    private fun grant(peer: RegisteredHost, answer: PromiseAnswer.Granted) {
        granted.add(peer)
        register.add(answer.registered)
    }

    /** Whom this host gives way to because of [answer]; null if to nobody. */
    private fun withdrawal(peer: RegisteredHost, answer: PromiseAnswer): RoundState.Withdrawn? {
        if (answer !is PromiseAnswer.Seen) return null
        val holder = answer.hold?.holder ?: return RoundState.Withdrawn(peer, peer, promised = null)
        if (holder == ledger.self || !ledger.prefers(key, holder)) return null
        return RoundState.Withdrawn(holder, peer, answer.hold)
    }

    private fun isMissing(answer: PromiseAnswer): Boolean =
        answer is PromiseAnswer.NotGiven || answer is PromiseAnswer.Silent

    private fun standing(): RoundState {
        val needed = register.others()
        if (needed.isEmpty()) return RoundState.Failed(peer = null)
        val toAsk = needed - granted
        if (toAsk.isEmpty()) return RoundState.Won
        asked.addAll(toAsk)
        return RoundState.Incomplete(toAsk.toImmutableSet())
    }
}
