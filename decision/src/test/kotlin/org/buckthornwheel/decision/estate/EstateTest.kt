package org.buckthornwheel.decision.estate

import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ZoneItem
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random

class EstateTest {
    private fun region(name: String) = RegionItem(RegionName(name))

    private fun note(
        base: Long,
        added: List<EstateItem> = emptyList(),
        changed: List<EstateItem> = emptyList(),
        withdrawn: List<ItemKey> = emptyList(),
    ) = ReleaseNote(NoteId("note"), "operator", Revision(base), added, changed, withdrawn)

    private fun accepted(revision: Long, note: ReleaseNote) =
        AcceptedNote(Revision(revision), note, HostName("host"), acceptedAtMilliseconds = 0)

    private fun Estate.withApplied(accepted: AcceptedNote): Estate = apply(accepted).fold({ this }, { it })

    @Nested
    inner class `given notes that arrive repeatedly, late and out of order` {
        private val notes = (1L..20L).map { accepted(it, note(it - 1, added = listOf(region("region-$it")))) }

        @Test
        fun `the revision never decreases and no note is skipped`() {
            repeat(1_000) { seed -> expectOrder(Random(seed), seed) }
        }

        private fun expectOrder(random: Random, seed: Int) {
            var estate = Estate.EMPTY
            repeat(200) {
                val next = estate.withApplied(notes.random(random))
                expectThat(next.revision).describedAs("seed $seed").isGreaterThanOrEqualTo(estate.revision)
                estate = next
                expectThat(estate.allItems.size.toLong()).describedAs("seed $seed").isEqualTo(estate.revision.value)
            }
        }
    }

    @Nested
    inner class `given a note that is based on an older revision` {
        private val estate = Estate.EMPTY
            .withApplied(accepted(1, note(0, added = listOf(region("north"), region("south")))))
            .withApplied(accepted(2, note(1, changed = listOf(region("north")))))

        @Test
        fun `each item that was changed since is reported`() {
            val findings = estate.check(note(1, changed = listOf(region("north"), region("south"))))
            expectThat(findings.map { it.key }).containsExactly(region("north").key)
        }

        @Test
        fun `a note that changes only other items is accepted`() {
            expectThat(estate.check(note(1, changed = listOf(region("south"))))).isEmpty()
        }
    }

    @Nested
    inner class `given a region with a zone` {
        private val zone = ZoneItem(ZoneName("zone"), RegionName("north"))
        private val estate = Estate.EMPTY.withApplied(accepted(1, note(0, added = listOf(region("north"), zone))))

        @Test
        fun `the region cannot be withdrawn without the zone`() {
            val findings = estate.check(note(1, withdrawn = listOf(region("north").key)))
            expectThat(findings.map { it.key }).containsExactly(zone.key)
        }
    }
}
