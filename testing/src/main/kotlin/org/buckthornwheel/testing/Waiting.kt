package org.buckthornwheel.testing

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Default timeout of [awaitUntil]; long enough for every process of a test, even on a busy machine. */
public val PATIENCE: Duration = 60.seconds

private val POLL_INTERVAL = 50.milliseconds

/**
 * Polls [condition] until it holds; fails with the description [what] if it does not hold within [patience].
 *
 * An exception in [condition] counts as false; the last one becomes the cause of the failure.
 */
public suspend fun awaitUntil(what: String, patience: Duration = PATIENCE, condition: suspend () -> Boolean) {
    var lastFailure: Throwable? = null
    val wasMet = withTimeoutOrNull(patience) {
        while (true) {
            try {
                if (condition()) break
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failure: Exception) {
                lastFailure = failure
            }
            delay(POLL_INTERVAL)
        }
        true
    }
    if (wasMet != true) throw AssertionError("Timed out waiting until $what", lastFailure)
}
