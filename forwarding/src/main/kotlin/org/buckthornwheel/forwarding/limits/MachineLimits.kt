package org.buckthornwheel.forwarding.limits

/**
 * What the machine of a host permits its process.
 *
 * @property memoryMegabytes memory that the process may use in all; null if it is limited by the JVM alone.
 * @property descriptors files and sockets that the process may have open at once; null for no limit.
 */
public data class MachineLimits(public val memoryMegabytes: Int? = null, public val descriptors: Int? = null)
