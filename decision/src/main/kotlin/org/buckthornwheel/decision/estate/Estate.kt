package org.buckthornwheel.decision.estate

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.PolicyItem
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ResidencyRuleItem
import org.buckthornwheel.api.estate.ServiceItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem

/**
 * The declared configuration of the whole estate at one revision.
 *
 * Immutable: applying a release note returns a new estate, so that a request sees one revision from start to end.
 */
public class Estate private constructor(
    public val revision: Revision,
    private val items: PersistentMap<ItemKey, EstateItem>,
    private val lastChange: PersistentMap<ItemKey, Revision>,
) {
    /** Every item, in no particular order. */
    public val allItems: Collection<EstateItem> get() = items.values

    /** Indexes for the lookups of request handling. */
    public val index: EstateIndex by lazy { EstateIndex(items.values) }

    /** The item with [key], if declared. */
    public operator fun get(key: ItemKey): EstateItem? = items[key]

    /** The region called [name], if declared. */
    public fun region(name: RegionName): RegionItem? = items[ItemKey(ItemKind.REGION, name.value)] as? RegionItem

    /** The zone called [name], if declared. */
    public fun zone(name: ZoneName): ZoneItem? = items[ItemKey(ItemKind.ZONE, name.value)] as? ZoneItem

    /** The model called [name], if declared. */
    public fun model(name: ModelName): ModelItem? = items[ItemKey(ItemKind.MODEL, name.value)] as? ModelItem

    /** The service called [name], if declared. */
    public fun service(name: ServiceName): ServiceItem? = items[ItemKey(ItemKind.SERVICE, name.value)] as? ServiceItem

    /** The target called [name], if declared. */
    public fun target(name: TargetName): TargetItem? = items[ItemKey(ItemKind.TARGET, name.value)] as? TargetItem

    /** The account called [name], if declared. */
    public fun account(name: AccountName): AccountItem? = items[ItemKey(ItemKind.ACCOUNT, name.value)] as? AccountItem

    /** The residency rule of [account], if it has one. */
    public fun residencyRule(account: AccountName): ResidencyRuleItem? =
        items[ItemKey(ItemKind.RESIDENCY_RULE, account.value)] as? ResidencyRuleItem

    /** The policy in force; the documented defaults if none is declared. */
    public val policy: PolicyItem
        get() = items[ItemKey(ItemKind.POLICY, PolicyItem.NAME)] as? PolicyItem ?: PolicyItem()

    /** The revision that last changed [key]; [Revision.NONE] if none did. */
    public fun lastChangeOf(key: ItemKey): Revision = lastChange[key] ?: Revision.NONE

    /** Checks whether [note] may become the next revision; returns a finding for each conflict or error. */
    public fun check(note: ReleaseNote): List<NoteFinding> = ReleaseNoteRules(this).check(note)

    /**
     * Applies [accepted], which must carry the next revision.
     *
     * The note was validated before it entered the log, so every host applies it in the same way without
     * checking it again.
     */
    public fun apply(accepted: AcceptedNote): Either<RevisionGap, Estate> {
        if (accepted.revision != revision.next()) return RevisionGap(revision, accepted.revision).left()
        val note = accepted.note
        val declared = (note.added + note.changed).associateBy { it.key }
        val remaining = note.withdrawn.fold(items) { remainder, key -> remainder.remove(key) }
        val changes = note.touchedKeys().associateWith { accepted.revision }
        return Estate(accepted.revision, remaining.putAll(declared), lastChange.putAll(changes)).right()
    }

    /** A snapshot of the estate that can be stored and restored. */
    public fun toSnapshot(): EstateSnapshot = EstateSnapshot(
        revision = revision,
        items = items.values.toList(),
        changes = lastChange.map { (key, at) -> ItemChange(key, at) },
    )

    /** Factories. */
    public companion object {
        /** The estate before the first release note. */
        public val EMPTY: Estate = Estate(Revision.NONE, persistentMapOf(), persistentMapOf())

        /** Restores the estate from [snapshot]. */
        public fun of(snapshot: EstateSnapshot): Estate = Estate(
            revision = snapshot.revision,
            items = persistentMapOf<ItemKey, EstateItem>().putAll(snapshot.items.associateBy { it.key }),
            lastChange = persistentMapOf<ItemKey, Revision>()
                .putAll(snapshot.changes.associate { it.key to it.revision }),
        )
    }
}

/** The [offered] note is not the successor of the [current] revision; the notes in between have to be applied first. */
public data class RevisionGap(public val current: Revision, public val offered: Revision)
