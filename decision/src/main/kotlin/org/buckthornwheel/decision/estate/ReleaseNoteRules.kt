package org.buckthornwheel.decision.estate

import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ResidencyRuleItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem

/** A reason why a release note is refused: the item, or null for the note as a whole, and what is wrong with it. */
public data class NoteFinding(public val key: ItemKey?, public val reason: String) {
    override fun toString(): String = if (key == null) reason else "$key: $reason"
}

/** Validates a release note against the estate that it would change. */
internal class ReleaseNoteRules(private val estate: Estate) {
    fun check(note: ReleaseNote): List<NoteFinding> = fields(note) + conflicts(note) + presence(note) + references(note)

    private fun fields(note: ReleaseNote): List<NoteFinding> = buildList {
        if (note.id.value.isBlank()) add(NoteFinding(null, "the note has no id"))
        if (note.author.isBlank()) add(NoteFinding(null, "the note has no author"))
        if (note.base > estate.revision) {
            add(NoteFinding(null, "base ${note.base} is later than the estate's revision ${estate.revision}"))
        }
        if (note.touchedKeys().isEmpty()) add(NoteFinding(null, "the note changes nothing"))
        val repeated = note.touchedKeys().groupingBy { it }.eachCount().filterValues { it > 1 }.keys
        repeated.forEach { add(NoteFinding(it, "is named more than once")) }
    }

    private fun conflicts(note: ReleaseNote): List<NoteFinding> = note.touchedKeys()
        .filter { estate.lastChangeOf(it) > note.base }
        .map { NoteFinding(it, "was changed by revision ${estate.lastChangeOf(it)}, after base ${note.base}") }

    private fun presence(note: ReleaseNote): List<NoteFinding> {
        val present = note.added.filter { estate[it.key] != null }
            .map { NoteFinding(it.key, "is added but already declared") }
        val absent = (note.changed.map { it.key } + note.withdrawn).filter { estate[it] == null }
            .map { NoteFinding(it, "is changed or withdrawn but not declared") }
        return present + absent
    }

    private fun references(note: ReleaseNote): List<NoteFinding> {
        val withdrawn = note.withdrawn.toSet()
        val written = (note.added + note.changed).associateBy { it.key }
        val unchanged = estate.allItems.filter { it.key !in withdrawn && it.key !in written }
        val result = unchanged + written.values
        val keys = result.map { it.key }.toSet()
        return result.flatMap { item ->
            item.references().filter {
                it !in keys
            }.map { NoteFinding(item.key, "refers to $it, which is not declared") }
        }
    }

    private fun EstateItem.references(): List<ItemKey> = when (this) {
        is ZoneItem -> listOf(ItemKey(ItemKind.REGION, region.value))

        is TargetItem -> listOf(ItemKey(ItemKind.ZONE, zone.value)) +
            models.map { ItemKey(ItemKind.MODEL, it.value) } +
            services.map { ItemKey(ItemKind.SERVICE, it.value) }

        is ResidencyRuleItem -> permittedRegions.map { ItemKey(ItemKind.REGION, it.value) }

        is AccountItem -> listOf(ItemKey(ItemKind.REGION, homeRegion.value))

        else -> emptyList()
    }
}
