package org.buckthornwheel.scenarios.endurance

import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.ObservedEffect
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** The outcomes that callers received for each action, checked against the effects at the services. */
internal class ActionHistory {
    private val received = ConcurrentHashMap<String, CopyOnWriteArrayList<Outcome>>()

    fun record(key: String, outcome: Outcome) {
        received.computeIfAbsent(key) { CopyOnWriteArrayList() } += outcome
    }

    /** The number of actions whose last outcome was [outcome]. */
    fun countEndedAs(outcome: Outcome): Int = received.values.count { it.last() == outcome }

    /** Every contradiction between the received outcomes and [effects]; empty if all outcomes were correct. */
    fun contradictions(effects: List<ObservedEffect>): List<String> {
        val counts = effects.mapNotNull { it.idempotencyKey }.groupingBy { it }.eachCount()
        return received.flatMap { (key, outcomes) -> contradictions(key, outcomes, counts[key] ?: 0) }
    }

    private fun contradictions(key: String, outcomes: List<Outcome>, count: Int): List<String> = listOfNotNull(
        "$key took effect $count times: $outcomes".takeIf { count > 1 },
        "$key was reported as completed but took no effect: $outcomes"
            .takeIf { Outcome.COMPLETED in outcomes && count == 0 },
        "$key was last reported as not-run but took effect: $outcomes"
            .takeIf { outcomes.last() == Outcome.NOT_RUN && count > 0 },
    )
}
