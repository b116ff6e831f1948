package org.buckthornwheel.decision.version

import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

internal class BegunStreamsTest {
    private val origin = StreamOrigin(ServiceName("s"), SoftwareVersion("v1"))

    // A caller that chose long identifiers took tens of megabytes of each host.
    @Test
    fun `the streams of a caller that chooses long identifiers take less than a megabyte`() {
        val begun = BegunStreams()
        val streams = List(4_096) { RequestId("$it".padEnd(8_000, 'x')) }
        streams.forEach { begun.record(it, origin) }
        expectThat(streams.filter { begun.find(it) != null }.sumOf { it.value.length }).isLessThan(1_000_000)
    }

    @Test
    fun `the streams that were recorded last are known`() {
        val begun = BegunStreams(maximum = 2)
        val streams = List(3) { RequestId("request-$it") }
        streams.forEach { begun.record(it, origin) }
        expectThat(streams.map { begun.find(it) }).isEqualTo(listOf(null, origin, origin))
    }
}
