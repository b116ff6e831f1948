package org.buckthornwheel.api

import kotlinx.serialization.Serializable

/** An IP address or host name with a port, written as `host:port`. */
@Serializable
public data class NetworkAddress(public val host: String, public val port: Int) {
    init {
        require(host.isNotBlank()) { "host of the address is blank" }
        require(port in PORTS) { "port $port is not in the range $PORTS" }
    }

    override fun toString(): String = "$host:$port"

    /** Parsing. */
    public companion object {
        private val PORTS = 1..65_535

        /** Parses `host:port`; null if [text] has another format. */
        public fun parse(text: String): NetworkAddress? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            if (host.isBlank() || port !in PORTS) return null
            return NetworkAddress(host, port)
        }
    }
}
