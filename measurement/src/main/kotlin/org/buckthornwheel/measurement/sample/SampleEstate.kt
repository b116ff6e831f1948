package org.buckthornwheel.measurement.sample

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem
import org.buckthornwheel.decision.estate.Estate

/** Size of a generated estate. */
public data class EstateSize(
    public val targets: Int,
    public val accounts: Int,
    public val zones: Int = DESIGN_ZONES,
    public val regions: Int = DESIGN_REGIONS,
    public val models: Int = DESIGN_MODELS,
) {
    /** The size that the project is designed for. */
    public companion object {
        /** Number of hosts. */
        public const val DESIGN_HOSTS: Int = 400

        /** Number of targets. */
        public const val DESIGN_TARGETS: Int = 1_000

        /** Number of client accounts. */
        public const val DESIGN_ACCOUNTS: Int = 2_000

        /** Number of availability zones. */
        public const val DESIGN_ZONES: Int = 21

        /** Number of regions. */
        public const val DESIGN_REGIONS: Int = 9

        /** Number of models. */
        public const val DESIGN_MODELS: Int = 5

        /** An estate of the design size. */
        public val DESIGN: EstateSize = EstateSize(DESIGN_TARGETS, DESIGN_ACCOUNTS)
    }
}

/** Generates an estate of the given size; equal sizes give equal estates. */
public class SampleEstate(private val size: EstateSize) {
    /** The zones, in order. */
    public val zones: List<ZoneName> = (0 until size.zones).map { ZoneName("zone-$it") }

    /** The model that most targets serve. */
    public val model: ModelName = ModelName("model-0")

    /** The targets; [servedModels] returns the models that the target with a given number serves. */
    public fun targets(servedModels: (Int) -> List<ModelName> = ::oneModel): List<TargetItem> =
        (0 until size.targets).map { number ->
            TargetItem(
                name = TargetName("target-$number"),
                zone = zones[number % zones.size],
                address = NetworkAddress("10.0.${number / OCTET}.${number % OCTET}", TARGET_PORT),
                models = servedModels(number),
            )
        }

    /** The first release note, which declares the whole estate. */
    public fun firstNote(): AcceptedNote = accepted(
        Revision.NONE,
        ReleaseNote(NoteId("first"), "operator", Revision.NONE, added = regions() + zoneItems() + otherItems()),
    )

    /** The estate after its first note. */
    public fun estate(): Estate = requireNotNull(Estate.EMPTY.apply(firstNote()).getOrNull()) {
        "the first note cannot be applied to the empty estate"
    }

    /** A typical small release note that follows [base] and changes one target. */
    public fun singleChangeNote(base: Revision): AcceptedNote {
        val changed = targets().first().copy(capacity = CHANGED_CAPACITY)
        return accepted(base, ReleaseNote(NoteId("daily-$base"), "operator", base, changed = listOf(changed)))
    }

    private fun accepted(base: Revision, note: ReleaseNote): AcceptedNote =
        AcceptedNote(base.next(), note, HostName("host-0"), acceptedAtMilliseconds = 0)

    private fun oneModel(number: Int): List<ModelName> = listOf(ModelName("model-${number % size.models}"))

    private fun regions(): List<EstateItem> = (0 until size.regions).map { RegionItem(RegionName("region-$it")) }

    private fun zoneItems(): List<EstateItem> =
        zones.mapIndexed { at, zone -> ZoneItem(zone, RegionName("region-${at % size.regions}")) }

    private fun otherItems(): List<EstateItem> {
        val models = (0 until size.models).map { ModelItem(ModelName("model-$it"), "1") }
        val accounts = (0 until size.accounts).map {
            AccountItem(AccountName("account-$it"), RegionName("region-${it % size.regions}"))
        }
        return models + targets() + accounts
    }

    private companion object {
        const val OCTET = 250
        const val TARGET_PORT = 8_000
        const val CHANGED_CAPACITY = 16
    }
}
