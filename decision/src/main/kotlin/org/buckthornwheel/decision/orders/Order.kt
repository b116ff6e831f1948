package org.buckthornwheel.decision.orders

import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.estate.TargetItem

/** Name of one version of a model, as the estate declares it. */
@JvmInline
public value class VersionName(public val value: String)

/**
 * A number that grows with every change of the order sender.
 *
 * A target that checks it refuses an order whose number is below the highest that it has seen.
 */
@JvmInline
public value class FencingNumber(public val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)
}

/** What a target is told to do. */
public sealed interface Order {
    /** The target that gets the order. */
    public val target: TargetItem

    /** The model that the order is about. */
    public val model: ModelName

    /** The version that the order is about. */
    public val version: VersionName

    /** Load the version from the weight store, beside what is loaded. */
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

/** One version that a target holds; it serves requests once it is [ready]. */
public data class ModelVersionStatus(
    public val model: ModelName,
    public val version: VersionName,
    public val ready: Boolean,
)

/** What one target holds, as it was told last. */
public data class TargetInventory(public val target: TargetItem, public val held: List<ModelVersionStatus>)
