package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.estate.TargetItem

/** Name of a version of a model, as declared in the estate. */
@JvmInline
public value class VersionName(public val value: String)

/**
 * Fencing token of the order sender; it increases whenever another host becomes the sender.
 *
 * A target that checks it rejects an order whose number is below the highest that it has seen.
 */
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)
}

/** A command to a target. */
public sealed interface Order {
    /** The target that receives the order. */
    public val target: TargetItem

    /** The model to load or unload. */
    public val model: ModelName

    /** The version to load or unload. */
    public val version: VersionName

    /** Load the version from the weight store, in addition to the versions that are already loaded. */
    public data class Load(
        override val target: TargetItem,
        override val model: ModelName,
        override val version: VersionName,
    ) : Order

    /** Unload the version. */
    public data class Unload(
        override val target: TargetItem,
        override val model: ModelName,
        override val version: VersionName,
    ) : Order
}

/** State of one version on a target: loading, or [ready] to serve requests. */
public data class ModelVersionStatus(
    public val model: ModelName,
    public val version: VersionName,
    public val ready: Boolean,
)

/** The versions on one target, as it reported them last. */
public data class TargetInventory(public val target: TargetItem, public val versions: List<ModelVersionStatus>)
