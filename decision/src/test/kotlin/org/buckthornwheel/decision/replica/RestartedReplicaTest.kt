/*
 * Replicas that start again under their identifier.
 */

package org.buckthornwheel.decision.replica

import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.quarantine.ReplicaRun
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

internal class RestartedReplicaTest {
    private val id = ReplicaId("r1")
    private val registry = ReplicaRegistry()
    private val start = MonotonicClock.SYSTEM.now()

    private fun replica(startedAt: Long) = Replica(
        id,
        ServiceName("s"),
        NetworkAddress("127.0.0.1", 1),
        ZoneName("north-a"),
        RegionName("north"),
        slots = 4,
        isDraining = false,
        startedAt = startedAt,
    )

    private fun register(startedAt: Long) = registry.put(replica(startedAt), 0, coldUntil = null)

    /** Fifteen seconds ahead when the earlier run announced leaving; the new run starts ten seconds later. */
    @Test
    fun `a clock step of the host does not make the next run of a leaving replica count as leaving`() {
        val announcedAt = 1_000_000L
        register(startedAt = announcedAt - 600_000)
        registry.recordLeaving(ReplicaRun(id, announcedAt - 600_000), start, announcedAt + 15_000)
        registry.remove(id)
        register(startedAt = announcedAt + 10_000)
        expectThat(registry.find(id)?.restriction(start + 10.seconds)).isNull()
    }

    /** The earlier run's machine is lost, so that its connections are not reset. */
    @Test
    fun `a new run is not silent because of requests that an earlier run never answered`() {
        register(startedAt = 1)
        checkNotNull(registry.find(id)).recordStart(ReplicaLoad(1, 0, 0), emptyList(), 0.seconds, start)
        registry.remove(id)
        register(startedAt = 2)
        expectThat(registry.find(id)?.restriction(start + 5.seconds)).isNull()
    }

    private fun coldness() = checkNotNull(registry.find(id)).coldness

    /** The third run answered an inquiry while the store was unavailable, before the second one's entry was read. */
    @Test
    fun `the registration of a run does not make a later one count as warm that has answered already`() {
        register(startedAt = 1)
        coldness().recordSignOfEnd(run = 1, start)
        coldness().recordRestart(run = 1, answering = 3, start, warmAt = start + 3.seconds)
        register(startedAt = 2)
        expectThat(coldness().isCold(start + 1.seconds)).isTrue()
    }

    @Test
    fun `the registration of the run that has answered tells how long it is cold`() {
        register(startedAt = 1)
        coldness().recordSignOfEnd(run = 1, start)
        coldness().recordRestart(run = 1, answering = 2, start, warmAt = start + 3.seconds)
        register(startedAt = 2)
        expectThat(coldness().isCold(start + 1.seconds)).isFalse()
    }

    /** The entry of the run before has expired, or was deleted, before the new one was written. */
    @Test
    fun `requests sent just before a restart count although the registration ended in between`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start)
        registry.remove(id)
        registry.put(replica(startedAt = 2), 0, coldUntil = start + 3.seconds)
        expectThat(coldness().permitsRequest(start + 0.5.seconds)).isFalse()
        expectThat(coldness().permitsRequest(start + 1.seconds)).isTrue()
    }

    @Test
    fun `requests sent just before the first sign of the end of a run count for the next one`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start)
        coldness().recordSignOfEnd(run = 1, start + 0.1.seconds)
        expectThat(coldness().permitsRequest(start + 0.9.seconds)).isFalse()
        expectThat(coldness().permitsRequest(start + 1.seconds)).isTrue()
    }

    @Test
    fun `requests sent before the replica refused a connection do not count for the next run`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start)
        coldness().recordSignOfEnd(run = 1, start + 0.1.seconds)
        coldness().recordAbsence(start + 0.2.seconds)
        expectThat(coldness().permitsRequest(start + 0.2.seconds)).isTrue()
    }

    /** The refusal is of a connection that was begun before the next run started. */
    @Test
    fun `requests sent after a connection was refused count for the next run`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start + 0.2.seconds)
        coldness().recordAbsence(start + 0.1.seconds)
        coldness().recordSignOfEnd(run = 1, start + 0.3.seconds)
        expectThat(coldness().permitsRequest(start + 0.3.seconds)).isFalse()
    }

    /** A replica may become cold again without starting again; its entry arrives later. */
    @Test
    fun `requests sent just before a registration says that the same run is cold again count`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start)
        registry.put(replica(startedAt = 1), 0, coldUntil = start + 3.seconds)
        expectThat(coldness().permitsRequest(start + 0.5.seconds)).isFalse()
        expectThat(coldness().permitsRequest(start + 1.seconds)).isTrue()
    }

    /** The request went to the next run, whose registration arrives after that of the earlier run has ended. */
    @Test
    fun `the pace of a doubted replica does not begin anew although the registration ended in between`() {
        register(startedAt = 1)
        coldness().recordSignOfEnd(run = 1, start)
        coldness().takeRequest(1.seconds, start)
        registry.remove(id)
        registry.put(replica(startedAt = 2), 0, coldUntil = start + 3.seconds)
        expectThat(coldness().permitsRequest(start + 0.5.seconds)).isFalse()
        expectThat(coldness().permitsRequest(start + 1.seconds)).isTrue()
    }

    /** The connection of an attempt that refers to the earlier state is opened after the registration. */
    @Test
    fun `an attempt placed before the registration ended counts the next run as cold`() {
        register(startedAt = 1)
        val atPlacement = coldness()
        registry.remove(id)
        registry.put(replica(startedAt = 2), 0, coldUntil = start + 3.seconds)
        expectThat(atPlacement.isCold(start + 0.1.seconds)).isTrue()
    }

    /** The third run has answered; the entry of the second one is read late. */
    @Test
    fun `a later run that has answered stays cold although the registration ended in between`() {
        register(startedAt = 1)
        coldness().recordSignOfEnd(run = 1, start)
        coldness().recordRestart(run = 1, answering = 3, start, warmAt = start + 3.seconds)
        registry.remove(id)
        register(startedAt = 2)
        expectThat(coldness().isCold(start + 1.seconds)).isTrue()
    }

    /** Two event loops: the one that read the clock first records its request last. */
    @Test
    fun `an earlier request that is recorded late does not hide a later one`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start + 0.2.seconds)
        coldness().takeRequest(1.seconds, start + 0.1.seconds)
        coldness().recordAbsence(start + 0.15.seconds)
        coldness().recordSignOfEnd(run = 1, start + 0.3.seconds)
        expectThat(coldness().permitsRequest(start + 0.3.seconds)).isFalse()
    }

    /** A connection takes up to 600 ms to open. */
    @Test
    fun `a request counts for the next run from the opening of its connection`() {
        register(startedAt = 1)
        coldness().takeRequest(1.seconds, start)
        expectThat(coldness().takeUnpaced(start + 0.5.seconds)).isTrue()
        coldness().recordSignOfEnd(run = 1, start + 0.6.seconds)
        expectThat(coldness().permitsRequest(start + 1.2.seconds)).isFalse()
        expectThat(coldness().permitsRequest(start + 1.5.seconds)).isTrue()
    }
}
