package org.buckthornwheel.daemon.request

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counters for retried, continued, broken, abandoned and forwarded requests. */
internal class RequestMeters(registry: MeterRegistry) {
    /** Attempts after the first one. */
    val retries: Counter = registry.counter("buckthornwheel.requests.retries")

    /** Streams that were continued at another target or host. */
    val continuedStreams: Counter = registry.counter("buckthornwheel.streams.continued")

    /** Streams that ended in an error event. */
    val brokenStreams: Counter = registry.counter("buckthornwheel.streams.broken")

    /** Responses that were dropped because they carried the identifier of another request. */
    val mismatchedResponses: Counter = registry.counter("buckthornwheel.answers.crossed")

    /** Requests whose caller disconnected before the response was complete. */
    val abandoned: Counter = registry.counter("buckthornwheel.requests.abandoned")

    /** Requests that were forwarded to a host of another zone. */
    val forwarded: Counter = registry.counter("buckthornwheel.requests.forwarded")
}
