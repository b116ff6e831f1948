package org.buckthornwheel.scenarios.endurance

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.CallerResponse
import org.buckthornwheel.testing.LocalEstate
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A caller that goes on asking whatever happens, and notes every answer that is not its own or not whole. */
internal class BusyCaller(
    private val name: String,
    private val estate: LocalEstate,
    private val history: ActionHistory,
    private val random: Random,
) {
    /** Answers that were wrong: foreign, with a gap, a repeat or no end although told to be whole. */
    val wrong: ConcurrentLinkedQueue<String> = ConcurrentLinkedQueue()

    /** Answers that were whole. */
    val whole: AtomicInteger = AtomicInteger()

    suspend fun run(requests: Int): Unit = Caller(estate.layout.accounts.first().token).use { caller ->
        repeat(requests) { number ->
            if (number % 2 == 0) complete(caller, number) else act(caller, number)
            delay(random.nextLong(10, 60).milliseconds)
        }
    }

    private suspend fun complete(caller: Caller, number: Int) {
        val prompt = "$name-$number"
        val stream = random.nextBoolean()
        val answer = attempt { caller.complete(host(), prompt, TOKENS, stream) } ?: return
        val claimsWhole = if (stream) answer.events().lastOrNull() == "[DONE]" else answer.status == 200
        if (!claimsWhole) return
        val tokens = TOKEN.findAll(answer.body).map { it.value }.toList()
        val expected = (0 until TOKENS).map { "$prompt:$it" }
        if (tokens == expected) whole.incrementAndGet() else wrong += "$prompt got $tokens"
    }

    /** Files an action and repeats it under its key, at any host, until it is told an end or loses patience. */
    private suspend fun act(caller: Caller, number: Int) {
        val key = "$name-$number"
        repeat(ATTEMPTS) {
            val answer = attempt { caller.act(host(), key, """{"action":"$key"}""") }
            val outcome = answer?.outcome ?: Outcome.UNKNOWN
            history.record(key, outcome)
            if (outcome == Outcome.COMPLETED) return
            if (outcome == Outcome.NOT_RUN && random.nextBoolean()) return
            delay(random.nextLong(50, 400).milliseconds)
        }
    }

    private fun host() = estate.hosts.random(random).callers

    private suspend fun attempt(block: suspend () -> CallerResponse): CallerResponse? = try {
        withTimeout(PATIENCE) { block() }
    } catch (_: TimeoutCancellationException) {
        null
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (_: Exception) {
        null
    }

    private companion object {
        const val TOKENS = 12
        const val ATTEMPTS = 4
        val PATIENCE = 8.seconds
        val TOKEN = Regex("""c\d+-\d+:\d+""")
    }
}
