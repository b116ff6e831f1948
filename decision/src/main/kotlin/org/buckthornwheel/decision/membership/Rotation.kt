package org.buckthornwheel.decision.membership

import kotlin.random.Random

/** Iterates over candidates in a random order that is shuffled anew each round, so that every candidate is chosen. */
internal class Rotation<Candidate>(private val random: Random) {
    private val queue = ArrayDeque<Candidate>()

    /** Chooses at most [count] of [candidates], starting with those not yet chosen in the current round. */
    fun next(candidates: Collection<Candidate>, count: Int): List<Candidate> {
        val present = candidates.toSet()
        val chosen = LinkedHashSet<Candidate>()
        queue.retainAll(present)
        while (chosen.size < minOf(count, present.size)) {
            if (queue.isEmpty()) queue.addAll((present - chosen).shuffled(random))
            chosen += queue.removeFirst()
        }
        return chosen.toList()
    }
}
