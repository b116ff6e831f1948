package org.buckthornwheel.measurement.load

/** Parses the JVM's garbage collection log (`-Xlog:gc`). */
public object GarbageCollectionLog {
    private val collection = Regex("""Pause .* (\d+)M->(\d+)M\(""")
    private const val BYTES_PER_MEBIBYTE = 1_048_576L

    /** Bytes allocated up to the last collection in [lines]: the sum of the growth of the heap between collections. */
    public fun allocatedBytes(lines: List<String>): Long {
        var afterPrevious = 0L
        var allocated = 0L
        lines.mapNotNull { collection.find(it) }.forEach { match ->
            val (before, after) = match.destructured
            allocated += before.toLong() - afterPrevious
            afterPrevious = after.toLong()
        }
        return allocated * BYTES_PER_MEBIBYTE
    }
}
