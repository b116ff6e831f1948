package org.buckthornwheel.standins.engine

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicInteger

/** The response body of `GET /load`; it may be up to [reportLagMilliseconds][Engine] old. */
@Serializable
internal data class LoadReport(val running: Int, val waiting: Int, val leaving: Boolean)

/** One message of a chat. */
@Serializable
internal data class ChatMessage(val role: String, val content: String)

/** The request body of a chat completion. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int = 16,
    @SerialName("continue_final_message") val continuesFinalMessage: Boolean = false,
) {
    /** The text that every generated token repeats. */
    fun prompt(): String = messages.last { it.role == "user" }.content

    /** Number of tokens already generated in the response that this request continues. */
    fun tokensSoFar(): Int = if (continuesFinalMessage) messages.last().content.split(prompt()).size - 1 else 0
}

/** Generates the tokens of responses; the n-th token of a prompt is the same text on every engine. */
internal class Engine(
    val name: String,
    private val slots: Int,
    private val firstTokenMilliseconds: Long,
    private val tokenIntervalMilliseconds: Long,
    private val reportLagMilliseconds: Long,
) {
    private val freeSlots = Semaphore(slots)
    private val running = AtomicInteger()
    private val waiting = AtomicInteger()

    @Volatile
    private var lastReport = LoadReport(0, 0, false)

    @Volatile
    private var reportedAtMilliseconds = 0L

    @Volatile
    var leaving: Boolean = false

    /** Number of requests started since the process started. */
    val started: AtomicInteger = AtomicInteger()

    /** Number of requests whose response was generated completely. */
    val completed: AtomicInteger = AtomicInteger()

    /** Whether the next response carries the id of another request. */
    @Volatile
    var sendsWrongIdNext: Boolean = false

    /** Returns the request id for the response to the request [requestId]. */
    fun responseId(requestId: String): String {
        if (!sendsWrongIdNext) return requestId
        sendsWrongIdNext = false
        return "another-request"
    }

    /** Number of requests in progress now; unlike [report], always current. */
    val runningNow: Int get() = running.get()

    fun tokens(request: ChatRequest): Flow<String> = flow {
        waiting.incrementAndGet()
        freeSlots.withPermit {
            waiting.decrementAndGet()
            running.incrementAndGet()
            started.incrementAndGet()
            try {
                delay(firstTokenMilliseconds)
                val tokensBefore = request.tokensSoFar()
                repeat(request.maximumTokens) { index ->
                    if (index > 0) delay(tokenIntervalMilliseconds)
                    emit("${request.prompt()}:${tokensBefore + index} ")
                }
                completed.incrementAndGet()
            } finally {
                running.decrementAndGet()
            }
        }
    }

    @Synchronized
    fun report(): LoadReport {
        val nowMilliseconds = System.currentTimeMillis()
        if (nowMilliseconds - reportedAtMilliseconds >= reportLagMilliseconds) {
            lastReport = LoadReport(running.get(), waiting.get(), leaving)
            reportedAtMilliseconds = nowMilliseconds
        }
        return lastReport
    }
}
