package org.buckthornwheel.daemon.request

import kotlinx.coroutines.delay
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.decision.admission.LoadShedding
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Measures the scheduling delay of this process with a timer on the threads that process requests. */
internal class LatenessProbe(private val shedding: LoadShedding, private val clock: MonotonicClock) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            val due = clock.now() + INTERVAL
            delay(INTERVAL)
            shedding.observe((clock.now() - due).coerceAtLeast(Duration.ZERO))
        }
    }

    private companion object {
        val INTERVAL = 50.milliseconds
    }
}
