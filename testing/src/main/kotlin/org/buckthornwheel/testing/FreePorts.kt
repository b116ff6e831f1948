package org.buckthornwheel.testing

import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * Allocates ports of the loopback address that are free for TCP and UDP; no port is allocated twice.
 *
 * All ports are below the operating system's range of ephemeral ports for outgoing connections.
 */
public object FreePorts {
    private const val FIRST_PORT = 10_000
    private const val LAST_PORT = 31_999

    /** Maximum number of concurrent test processes; the build numbers them from 1. */
    private const val MAXIMUM_PROCESSES = 4
    private const val PROCESS_PROPERTY = "buckthornwheel.test.process"

    private val range = rangeOfProcess(processNumber(System.getProperty(PROCESS_PROPERTY)))
    private val allocated = HashSet<Int>()

    /** Allocates a random port that was free when it was checked. */
    @Synchronized
    public fun next(): Int {
        while (true) {
            val port = range.random()
            if (port !in allocated && isFree(port)) return port.also { allocated += it }
        }
    }

    /** The number of this test process; 1 without [property]. */
    private fun processNumber(property: String?): Int {
        if (property == null) return 1
        return requireNotNull(property.toIntOrNull()) { "$PROCESS_PROPERTY is not a number: \"$property\"" }
    }

    /** The ports of test process [number]; a separate range, as another process may not have bound its ports yet. */
    private fun rangeOfProcess(number: Int): IntRange {
        require(number in 1..MAXIMUM_PROCESSES) { "$PROCESS_PROPERTY is $number, but must be 1 to $MAXIMUM_PROCESSES" }
        val size = (LAST_PORT - FIRST_PORT + 1) / MAXIMUM_PROCESSES
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
