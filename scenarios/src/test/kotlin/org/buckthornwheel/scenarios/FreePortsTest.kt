package org.buckthornwheel.scenarios

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isNotNull

internal class FreePortsTest {
    /** Guards against two test processes that allocate the same port, so that a host cannot listen on its address. */
    @Test
    fun `the build numbers each test process, so that each has its own range of ports`() {
        expectThat(System.getProperty("buckthornwheel.test.process")?.toIntOrNull()).isNotNull()
    }
}
