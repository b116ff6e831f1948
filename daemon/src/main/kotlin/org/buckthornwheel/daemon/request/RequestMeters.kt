package org.buckthornwheel.daemon.request

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counts what happens to requests beyond their first attempt. */
internal class RequestMeters(registry: MeterRegistry) {
    /** Attempts after the first one. */
    val retries: Counter = registry.counter("buckthornwheel.requests.retries")

    /** Streams that were continued at another target or host. */
    val continuedStreams: Counter = registry.counter("buckthornwheel.streams.continued")

    /** Streams that ended in an error event. */
    val brokenStreams: Counter = registry.counter("buckthornwheel.streams.broken")

    /** Answers that carried the identifier of another request and were dropped. */
    val mismatchedResponses: Counter = registry.counter("buckthornwheel.answers.crossed")

    /** Requests whose caller left before the answer was whole. */
    val abandoned: Counter = registry.counter("buckthornwheel.requests.abandoned")

    /** Requests handed to a host of another zone. */
    val forwarded: Counter = registry.counter("buckthornwheel.requests.forwarded")
}
