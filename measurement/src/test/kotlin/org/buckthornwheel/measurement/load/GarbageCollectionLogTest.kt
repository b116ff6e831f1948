package org.buckthornwheel.measurement.load

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class GarbageCollectionLogTest {
    @Test
    fun `allocated bytes are the growth of the heap since the previous collection, summed up`() {
        val lines = listOf(
            "[0.512s][info][gc] Using Serial",
            "[1.204s][info][gc] GC(0) Pause Young (Allocation Failure) 38M->6M(122M) 4.113ms",
            "[2.833s][info][gc] GC(1) Pause Young (Allocation Failure) 44M->7M(122M) 3.871ms",
        )
        expectThat(GarbageCollectionLog.allocatedBytes(lines)).isEqualTo((38L + 38L) * 1_048_576)
    }
}
