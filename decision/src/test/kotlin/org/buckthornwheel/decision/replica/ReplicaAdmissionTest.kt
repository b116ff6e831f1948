package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.placement.Distances
import org.buckthornwheel.decision.placement.Placement
import org.buckthornwheel.decision.placement.PlacementDecision
import org.buckthornwheel.decision.placement.PlacementRequest
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class ReplicaAdmissionTest {
    private val replicas = ReplicaRegistry()
    private val placement = Placement(Distances(NORTH, ZONE, 12.0, 120.0), replicas)
    private var now = MonotonicInstant(0) + 1_000.seconds

    private fun put(startedAt: Long, isDraining: Boolean = false, id: String = "r") {
        val address = NetworkAddress("10.0.0.1", 80)
        val replica = Replica(ReplicaId(id), SERVICE, address, ZONE, NORTH, SLOTS, isDraining, startedAt)
        replicas.put(replica, tokenCapacity = 0, coldUntil = null)
    }

    private fun choose(): PlacementDecision = placement.choose(
        PlacementRequest(
            SERVICE,
            promptTokens = 0,
            outputTokens = 0,
            parts = emptyList(),
            priority = 1,
            targetLatency = 1.seconds,
            remaining = 6.seconds,
            homeRegions = emptySet(),
            excluded = emptySet(),
            closedZones = emptySet(),
            mayForward = true,
            isUrgent = false,
        ),
        emptySet(),
        now,
    )

    private fun state(id: String = "r") = replicas.find(ReplicaId(id))

    /** What the replica has said, however it is registered. */
    private class Model {
        var startedAt = 0L
        var pausedUntil: MonotonicInstant? = null
        val leaving = HashSet<Long>()

        fun bars(now: MonotonicInstant) = startedAt in leaving || pausedUntil.let { it != null && now < it }
    }

    /** Plays one event that [random] chooses; replicas and model are told the same. */
    private fun play(random: Random, model: Model) {
        val pause = random.nextLong(-500, 3_000).milliseconds
        when (random.nextInt(EVENTS)) {
            0 -> model.leaving += model.startedAt.also { replicas.recordLeaving(run(it), now) }
            1 -> model.leaving += (model.startedAt + 1).also { replicas.recordLeaving(run(it), at = null) }
            in 2..4 -> pause(model, pause)
            5 -> put(model.startedAt)
            6 -> replicas.remove(ReplicaId("r")).also { put(model.startedAt) }
            7 -> state()?.recordPause(model.startedAt - 1, 1.hours, now)
            8 -> restart(model)
            9 -> end(ReplicaAttemptResult.ANSWERED)
            10 -> end(ReplicaAttemptResult.BROKEN)
            11 -> state()?.recordHostLoad(HostName("other"), ReplicaLoad.NONE, now)
        }
    }

    private fun run(startedAt: Long) = ReplicaRun(ReplicaId("r"), startedAt)

    private fun pause(model: Model, pause: Duration) {
        state()?.recordPause(model.startedAt, pause, now)
        model.pausedUntil = listOfNotNull(model.pausedUntil, now + pause).maxOrNull()
    }

    private fun restart(model: Model) {
        model.startedAt += 1
        model.pausedUntil = null
        put(model.startedAt)
    }

    private fun end(result: ReplicaAttemptResult) {
        state()?.recordStart(WORK, emptyList(), Duration.ZERO, now)
        state()?.recordEnd(WORK, result, 50.milliseconds, 0, now)
    }

    /** Whether the model barred the replica at each placement that chose it; the second one counts the barred ones. */
    private fun placements(seed: Int): Pair<List<String>, Int> {
        val random = Random(seed)
        val fixture = ReplicaAdmissionTest()
        val model = Model()
        fixture.put(model.startedAt)
        val wrong = ArrayList<String>()
        var barred = 0
        repeat(STEPS) { step ->
            fixture.play(random, model)
            fixture.now += random.nextLong(400).milliseconds
            val isChosen = fixture.choose() is PlacementDecision.Local
            if (model.bars(fixture.now)) barred += 1
            if (isChosen && model.bars(fixture.now)) wrong += "seed $seed, step $step"
        }
        return wrong to barred
    }

    @Test
    fun `a replica that is leaving or paused gets no requests, whatever arrives in which order`() {
        val results = (1..SEEDS).map { placements(it) }
        expectThat(results.flatMap { it.first }).isEmpty()
        expectThat(results.sumOf { it.second }).isGreaterThan(SEEDS * STEPS / 4)
    }

    @Test
    fun `a limit is kept when the same run is registered again, and forgotten at another start`() {
        put(0)
        state()?.recordLimit(0, 3.5, now, now)
        replicas.remove(ReplicaId("r"))
        put(0)
        expectThat(state()?.requestLimit(0, now)).isEqualTo(3.5)
        put(1)
        expectThat(state()?.requestLimit(1, now)).isNull()
    }

    @Test
    fun `the placement says when the first pause ends`() {
        listOf("r", "s").forEach { put(0, id = it) }
        state("r")?.recordPause(0, 3.seconds, now)
        state("s")?.recordPause(0, 2.seconds, now)
        expectThat(choose()).isEqualTo(PlacementDecision.Paused(2.seconds))
    }

    @Test
    fun `the only replica is used although it failed, but not while it is leaving`() {
        put(0)
        repeat(3) { end(ReplicaAttemptResult.BROKEN) }
        expectThat((choose() as? PlacementDecision.Local)?.replica).isNotNull()
        put(0, isDraining = true)
        expectThat(choose()).isEqualTo(PlacementDecision.NoReplica)
    }

    @Test
    fun `a pause is limited to an hour`() {
        put(0)
        state()?.recordPause(0, Duration.INFINITE, now)
        now += 1.hours
        expectThat(
            choose(),
        ).isEqualTo(PlacementDecision.Local(requireNotNull(state()).current, 0, ReplicaLoad.NONE, 300.milliseconds))
    }

    /** Guards against requests that waited for the end of a pause and are then sent all at once. */
    @Test
    fun `after a pause the number of requests grows up to the slots`() {
        put(0)
        state()?.recordPause(0, 1.seconds, now)
        now += 1.seconds
        var sent = 0
        while (choose() is PlacementDecision.Local) {
            state()?.recordStart(WORK, emptyList(), Duration.ZERO, now)
            sent += 1
        }
        expectThat(sent).isEqualTo(1)
        now += 600.milliseconds
        while (choose() is PlacementDecision.Local) {
            state()?.recordStart(WORK, emptyList(), Duration.ZERO, now)
            sent += 1
        }
        expectThat(sent).isGreaterThan(1).isLessThanOrEqualTo(SLOTS)
    }

    private companion object {
        val NORTH = RegionName("north")
        val ZONE = ZoneName("north-a")
        val SERVICE = ServiceName("service")
        val WORK = ReplicaLoad(1, 0, 0)
        const val SLOTS = 8
        const val EVENTS = 12
        const val SEEDS = 2_000
        const val STEPS = 40
    }
}
