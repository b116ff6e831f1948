package org.buckthornwheel.daemon.membership

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry

/** Counts the gossip messages between hosts and their bytes, including the headers of the datagrams. */
internal class ControlTraffic(registry: MeterRegistry) {
    private val sentBytes = counter(registry, "bytes", "sent")
    private val sentMessages = counter(registry, "messages", "sent")
    private val receivedBytes = counter(registry, "bytes", "received")
    private val receivedMessages = counter(registry, "messages", "received")

    fun sent(payload: Int) {
        sentBytes.increment(wireBytes(payload).toDouble())
        sentMessages.increment()
    }

    fun received(payload: Int) {
        receivedBytes.increment(wireBytes(payload).toDouble())
        receivedMessages.increment()
    }

    private fun counter(registry: MeterRegistry, unit: String, direction: String): Counter =
        registry.counter("buckthornwheel.control.$unit", "direction", direction)

    companion object {
        private const val HEADER_BYTES = 28

        /** Size on the wire of a datagram with [payload] bytes, including the IPv4 header and the UDP header. */
        fun wireBytes(payload: Int): Int = payload + HEADER_BYTES
    }
}
