package org.buckthornwheel.decision.version

import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.manifest.CallerLimits
import org.buckthornwheel.decision.manifest.Manifest
import org.buckthornwheel.decision.manifest.ManifestVersion
import org.buckthornwheel.decision.manifest.Route
import org.buckthornwheel.decision.manifest.RouteKind
import org.buckthornwheel.decision.manifest.WeightedService
import org.buckthornwheel.decision.replica.Replica
import org.buckthornwheel.decision.replica.ReplicaId
import org.buckthornwheel.decision.replica.ReplicaRegistry
import org.buckthornwheel.decision.replica.SoftwareVersion
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class VersionUpdatesTest {
    private val start = MonotonicInstant(0)
    private val versions = StreamVersions()
    private val replicas = ReplicaRegistry()
    private var isRecorder = true
    private val updates = VersionUpdates(versions, replicas, { isRecorder }, patience = 2.seconds)

    private fun register(
        number: Int,
        version: String,
        coldUntil: MonotonicInstant? = null,
        isDraining: Boolean = false,
    ) = replicas.put(
        Replica(
            ReplicaId("i-$number"), SERVICE, NetworkAddress("10.0.0.1", 8080), ZONE, RegionName("north"),
            slots = 8, isDraining, startedAt = 1, version = SoftwareVersion(version),
        ),
        tokenCapacity = 0,
        coldUntil,
    )

    /** What is due at [now], which the store then holds. */
    private fun record(now: MonotonicInstant): VersionHistory? =
        updates.due(MANIFEST, emptySet(), now)[SERVICE]?.also { versions.of(SERVICE).applyStored(it, now) }

    private fun inForce() = versions.of(SERVICE).current.inForce.replicas.mapKeys { it.key.value }
        .mapValues { it.value.values.sum() }

    @Test
    fun `cold and leaving replicas get no streams beside warm ones`() {
        repeat(4) { register(it, "v1") }
        register(4, "v1", isDraining = true)
        repeat(4) { register(10 + it, "v2", coldUntil = start + 3.seconds) }
        record(start)
        expectThat(inForce()).isEqualTo(mapOf("v1" to 4))
        record(start + 4.seconds)
        expectThat(inForce()).isEqualTo(mapOf("v1" to 4, "v2" to 4))
    }

    @Test
    fun `cold replicas get the streams if no warm ones are left`() {
        repeat(4) { register(it, "v1", isDraining = true) }
        repeat(4) { register(10 + it, "v2", coldUntil = start + 3.seconds) }
        record(start)
        expectThat(inForce()).isEqualTo(mapOf("v2" to 4))
    }

    @Test
    fun `a rollout over a thousand replicas within a minute takes a few dozen writes`() {
        repeat(REPLICAS) { register(it, "v1") }
        var writes = 0
        for (step in 0 until REPLICAS) {
            val now = start + 60.milliseconds * step
            register(step, "v2")
            if (record(now) != null) writes += 1
        }
        expectThat(writes).isLessThan(40)
        record(start + 70.seconds)
        expectThat(inForce()).isEqualTo(mapOf("v2" to REPLICAS))
    }

    @Test
    fun `another host records a change if the recorder does not`() {
        isRecorder = false
        repeat(4) { register(it, "v1") }
        expectThat(updates.due(MANIFEST, emptySet(), start)).isEmpty()
        expectThat(updates.due(MANIFEST, emptySet(), start + 1.seconds)).isEmpty()
        expectThat(updates.due(MANIFEST, emptySet(), start + 3.seconds).keys).isEqualTo(setOf(SERVICE))
    }

    @Test
    fun `nothing is recorded before the records were read`() {
        versions.awaitsRecords = true
        repeat(4) { register(it, "v1") }
        expectThat(updates.due(MANIFEST, emptySet(), start)).isEmpty()
    }

    private companion object {
        const val REPLICAS = 1_000
        val SERVICE = ServiceName("s")
        val ZONE = ZoneName("north-a")
        val MANIFEST = Manifest(
            ManifestVersion(1),
            listOf(
                Route(
                    "ask", "h", "/ask/", RouteKind.STREAMING, 4.seconds, 600.milliseconds, priority = 0,
                    listOf(WeightedService(SERVICE, 1.0)), maximumAttempts = 2, isResumable = true, emptySet(),
                ),
            ),
            emptyMap(),
            CallerLimits(2_000, 10_000, 1.seconds, 2.seconds),
        )
    }
}
