package org.buckthornwheel.decision.version

import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.replica.SoftwareVersion

/** A [service] and the software [version] of it that began a stream. */
public data class StreamOrigin(public val service: ServiceName, public val version: SoftwareVersion)

/** The origins of the streams that this host relayed last, by the request that began each. Thread-safe. */
public class BegunStreams(private val maximum: Int = MAXIMUM_STREAMS) {
    private val origins = LinkedHashMap<RequestId, StreamOrigin>()

    /**
     * Records that the first event of the stream of [request] came from [origin]. A stream with a very long identifier
     * is not remembered; its version follows from the shares.
     */
    public fun record(request: RequestId, origin: StreamOrigin): Unit = synchronized(origins) {
        if (request.value.length > MAXIMUM_IDENTIFIER_LENGTH) return
        origins[request] = origin
        if (origins.size > maximum) origins.remove(origins.keys.first())
    }

    /** Where the stream of [request] began; null if this host does not know. */
    public fun find(request: RequestId): StreamOrigin? = synchronized(origins) { origins[request] }

    private companion object {
        /** The streams of some ten seconds at a busy host, in less than a megabyte. */
        const val MAXIMUM_STREAMS = 4_096

        /** Callers choose identifiers, and usual ones are shorter. */
        const val MAXIMUM_IDENTIFIER_LENGTH = 128
    }
}
