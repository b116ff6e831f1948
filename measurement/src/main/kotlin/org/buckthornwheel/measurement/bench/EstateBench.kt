package org.buckthornwheel.measurement.bench

import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.estate.EstateIndex
import org.buckthornwheel.decision.estate.NoteFinding
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.measurement.sample.SampleEstate
import org.buckthornwheel.measurement.sample.SamplePeers
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State

/** Cost of one configuration change at the design size: 1,000 targets and 2,000 accounts in 21 zones. */
@State(Scope.Benchmark)
public open class EstateBench {
    private val sample = SampleEstate(EstateSize.DESIGN)
    private val estate: Estate = sample.estate()
    private val note: AcceptedNote = sample.singleChangeNote(estate.revision)

    /** Validates a typical small note, as the accepting host does. */
    @Benchmark
    public fun checkNote(): List<NoteFinding> = estate.check(note.note)

    /** Applies a typical small note, as every host does. */
    @Benchmark
    public fun applyNote(): Estate = requireNotNull(estate.apply(note).getOrNull())

    /** Applies a typical small note and builds the index that the next request needs. */
    @Benchmark
    public fun applyNoteAndIndex(): EstateIndex = requireNotNull(estate.apply(note).getOrNull()).index

    /** Encodes and signs a snapshot of the whole estate. */
    @Benchmark
    public fun encodeSnapshot(): ByteArray = SamplePeers.codec.encode(estate.toSnapshot())
}
