package org.buckthornwheel.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.buckthornwheel.daemon.observability.Part
import kotlin.coroutines.coroutineContext
import kotlin.time.Duration.Companion.seconds

/**
 * Runs background loops for the lifetime of the process.
 *
 * A loop that returns or throws, which includes a cancellation that did not come from [stop], is logged and restarted.
 */
internal class BackgroundLoops {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Runs [loop] of [part] until [stop] is called. */
    fun start(part: Part, loop: suspend () -> Unit) {
        scope.launch {
            while (true) {
                runOnce(part, loop)
                delay(RESTART_DELAY)
            }
        }
    }

    /** Runs [task] once, concurrently with the loops. */
    fun launch(task: suspend () -> Unit) {
        scope.launch(Dispatchers.IO) { task() }
    }

    /** Cancels every loop. */
    fun stop(): Unit = scope.cancel()

    private suspend fun runOnce(part: Part, loop: suspend () -> Unit) {
        try {
            loop()
            part.warn("A background loop has ended and is restarted.")
        } catch (failure: Exception) {
            coroutineContext.ensureActive()
            part.warn("A background loop failed and is restarted: $failure.")
        }
    }

    private companion object {
        val RESTART_DELAY = 1.seconds
    }
}
