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

/** A caller that sends requests regardless of failures and records every incorrect response. */
internal class BusyCaller(
    private val name: String,
    private val estate: LocalEstate,
    private val history: ActionHistory,
    private val random: Random,
) {
    /**
     * Responses that were presented as complete but belonged to another request, had missing or repeated tokens, or had
     * no end.
     */
    val incorrect: ConcurrentLinkedQueue<String> = ConcurrentLinkedQueue()

    /** The number of complete responses. */
    val completeCount: AtomicInteger = AtomicInteger()

    suspend fun run(requests: Int): Unit = Caller(estate.layout.accounts.first().token).use { caller ->
        repeat(requests) { number ->
            if (number % 2 == 0) complete(caller, number) else sendAction(caller, number)
            delay(random.nextLong(10, 60).milliseconds)
        }
    }

    private suspend fun complete(caller: Caller, number: Int) {
        val prompt = "$name-$number"
        val stream = random.nextBoolean()
        val response = attempt { caller.complete(host(), prompt, TOKENS, stream) } ?: return
        val isPresentedAsComplete = if (stream) response.events().lastOrNull() == "[DONE]" else response.status == 200
        if (!isPresentedAsComplete) return
        val tokens = TOKEN.findAll(response.body).map { it.value }.toList()
        val expected = (0 until TOKENS).map { "$prompt:$it" }
        if (tokens == expected) completeCount.incrementAndGet() else incorrect += "$prompt got $tokens"
    }

    /** Sends an action and retries it with its key, at any host, until its outcome is final or attempts run out. */
    private suspend fun sendAction(caller: Caller, number: Int) {
        val key = "$name-$number"
        repeat(ATTEMPTS) {
            val response = attempt { caller.act(host(), key, """{"action":"$key"}""") }
            val outcome = response?.outcome ?: Outcome.UNKNOWN
            history.record(key, outcome)
            if (outcome == Outcome.COMPLETED) return
            if (outcome == Outcome.NOT_RUN && random.nextBoolean()) return
            delay(random.nextLong(50, 400).milliseconds)
        }
    }

    private fun host() = estate.hosts.random(random).callers

    private suspend fun attempt(block: suspend () -> CallerResponse): CallerResponse? = try {
        withTimeout(ATTEMPT_TIMEOUT) { block() }
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
        val ATTEMPT_TIMEOUT = 8.seconds
        val TOKEN = Regex("""c\d+-\d+:\d+""")
    }
}
