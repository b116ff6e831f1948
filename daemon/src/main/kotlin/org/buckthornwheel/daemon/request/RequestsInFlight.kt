package org.buckthornwheel.daemon.request

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Counts the requests in progress, so that a host that shuts down can wait for the last one. */
internal class RequestsInFlight {
    private val count = MutableStateFlow(0)

    /** Requests in progress now. */
    val current: Int get() = count.value

    /** Runs [block] and counts it as a request in progress. */
    suspend fun <Result> count(block: suspend () -> Result): Result {
        count.update { it + 1 }
        try {
            return block()
        } finally {
            count.update { it - 1 }
        }
    }

    /** Returns once no request is in progress. */
    suspend fun awaitNone() {
        count.first { it == 0 }
    }
}
