package org.buckthornwheel.measurement.control

import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.estate.EstateSnapshot
import org.buckthornwheel.measurement.fit.Point
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.measurement.sample.SampleEstate
import org.buckthornwheel.measurement.sample.SamplePeers
import org.buckthornwheel.measurement.sample.SampleRouting

/** Measures how the cost of the configuration grows with targets and accounts, with the real aggregate and codec. */
internal object EstateSlopes {
    private val TARGETS = listOf(50, 100, 250, 500, 1_000)
    private val ACCOUNTS = listOf(10, 100, 500, 1_000, 2_000)
    private const val FEW_TARGETS = 50
    private const val FEW_ACCOUNTS = 10
    private const val COPIES = 12
    private const val REPEATS = 300

    fun all(): List<Slope> = listOf(
        byTargets("estate in memory, bytes", ::stateBytes),
        byAccounts("estate in memory, bytes", ::stateBytes),
        byTargets("snapshot on the wire, bytes", ::snapshotBytes),
        byAccounts("snapshot on the wire, bytes", ::snapshotBytes),
        byTargets("judging a note, microseconds of processor", ::checkTime),
        byAccounts("judging a note, microseconds of processor", ::checkTime),
        byTargets("applying a note with its lookups, microseconds of processor", ::applyTime),
        byAccounts("applying a note with its lookups, microseconds of processor", ::applyTime),
        byTargets("load and health of targets in memory, bytes", ::fleetBytes),
    )

    private fun byTargets(figure: String, measure: (EstateSize) -> Double): Slope = Slope(
        figure,
        "targets",
        EstateSize.DESIGN_TARGETS,
        TARGETS.map { targets ->
            Point(targets.toDouble(), measure(EstateSize(targets, FEW_ACCOUNTS)))
        },
    )

    private fun byAccounts(figure: String, measure: (EstateSize) -> Double): Slope = Slope(
        figure,
        "accounts",
        EstateSize.DESIGN_ACCOUNTS,
        ACCOUNTS.map { accounts ->
            Point(accounts.toDouble(), measure(EstateSize(FEW_TARGETS, accounts)))
        },
    )

    private fun stateBytes(size: EstateSize): Double = RetainedMemory.bytes(COPIES) {
        val snapshot = SampleEstate(size).estate().toSnapshot()
        val bytes = SamplePeers.codec.encode(snapshot)
        val decoded = SamplePeers.codec.decode<EstateSnapshot>(bytes).getOrNull()
        Estate.of(requireNotNull(decoded)).also { it.index }
    }

    private fun snapshotBytes(size: EstateSize): Double =
        SamplePeers.codec.encode(SampleEstate(size).estate().toSnapshot()).size.toDouble()

    private fun checkTime(size: EstateSize): Double {
        val sample = SampleEstate(size)
        val estate = sample.estate()
        val note = sample.singleChangeNote(estate.revision).note
        return ProcessorMeter.microseconds(REPEATS) { estate.check(note) }
    }

    private fun applyTime(size: EstateSize): Double {
        val sample = SampleEstate(size)
        val estate = sample.estate()
        val note = sample.singleChangeNote(estate.revision)
        return ProcessorMeter.microseconds(REPEATS) { requireNotNull(estate.apply(note).getOrNull()).index }
    }

    private fun fleetBytes(size: EstateSize): Double {
        val targets = SampleEstate(size).targets()
        return RetainedMemory.bytes(COPIES) { SampleRouting.fleet(targets) }
    }
}
