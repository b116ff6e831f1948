package org.buckthornwheel.testing

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Hands out ports of the loopback address that are free for TCP and UDP and are never handed out twice.
 *
 * They lie below the range from which the system takes ports for outgoing connections.
 */
public object FreePorts {
    private const val FIRST_PORT = 10_000
    private const val LAST_PORT = 31_999

    /** Test processes that run at the same time, at most; the build numbers them from 1. */
    private const val MOST_PROCESSES = 4
    private const val PROCESS_PROPERTY = "buckthornwheel.test.process"

    private val range = rangeOf(System.getProperty(PROCESS_PROPERTY)?.toIntOrNull() ?: 1)
    private val handedOut = HashSet<Int>()

    /** A port that was free a moment ago. */
    @Synchronized
    public fun next(): Int {
        while (true) {
            val port = range.random()
            if (port !in handedOut && isFree(port)) return port.also { handedOut += it }
        }
    }

    /** The ports of the test process [number]: what another one has handed out may not be taken yet. */
    private fun rangeOf(number: Int): IntRange {
        require(number in 1..MOST_PROCESSES) { "$PROCESS_PROPERTY is $number, not 1 to $MOST_PROCESSES" }
        val size = (LAST_PORT - FIRST_PORT + 1) / MOST_PROCESSES
        val first = FIRST_PORT + (number - 1) * size
        return first until first + size
    }

    private fun isFree(port: Int): Boolean = try {
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), port)
        ServerSocket().use { it.bind(address) }
        DatagramSocket(address).use { }
        true
    } catch (_: IOException) {
        false
    }
}
