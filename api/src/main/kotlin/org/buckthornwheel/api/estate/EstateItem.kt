/*
 * The items of the estate: the configuration that operators declare.
 *
 * An estate is a set of items, each identified by its kind and name. A release note adds, changes or withdraws
 * whole items, so that two notes conflict exactly when they contain the same key.
 */

package org.buckthornwheel.api.estate

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.OperationName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName

/** The kinds of items, in the order in which items may refer to each other. */
@Serializable
public enum class ItemKind {
    @SerialName("region")
    REGION,

    @SerialName("zone")
    ZONE,

    @SerialName("model")
    MODEL,

    @SerialName("service")
    SERVICE,

    @SerialName("target")
    TARGET,

    @SerialName("residency-rule")
    RESIDENCY_RULE,

    @SerialName("account")
    ACCOUNT,

    @SerialName("policy")
    POLICY,
}

/** Identifies an item in the estate by its kind and name. */
@Serializable
public data class ItemKey(public val kind: ItemKind, public val name: String) {
    override fun toString(): String = "${kind.name.lowercase().replace('_', '-')} $name"
}

/** One declared item. */
@Serializable
public sealed interface EstateItem {
    /** The key that identifies the item. */
    public val key: ItemKey
}

/** A region. */
@Serializable
@SerialName("region")
public data class RegionItem(public val name: RegionName) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.REGION, name.value)
}

/** An availability zone and the region that it belongs to. */
@Serializable
@SerialName("zone")
public data class ZoneItem(public val name: ZoneName, public val region: RegionName) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.ZONE, name.value)
}

/** A model that callers may request; new requests are served by [version]. */
@Serializable
@SerialName("model")
public data class ModelItem(public val name: ModelName, public val version: String) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.MODEL, name.value)
}

/** An operation of a plain service; unless it is [idempotent], a request for it is sent to a target at most once. */
@Serializable
public data class Operation(public val name: OperationName, public val idempotent: Boolean = false)

/** A plain service with its declared operations. */
@Serializable
@SerialName("service")
public data class ServiceItem(public val name: ServiceName, public val operations: List<Operation>) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.SERVICE, name.value)
}

/**
 * A target: an engine that serves [models] or a replica of the plain [services].
 *
 * @property capacity the number of concurrent requests above which the target queues further ones.
 * @property checksFencing whether the target rejects orders with an outdated fencing number.
 */
@Serializable
@SerialName("target")
public data class TargetItem(
    public val name: TargetName,
    public val zone: ZoneName,
    public val address: NetworkAddress,
    public val models: List<ModelName> = emptyList(),
    public val services: List<ServiceName> = emptyList(),
    public val capacity: Int = DEFAULT_CAPACITY,
    public val checksFencing: Boolean = false,
) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.TARGET, name.value)

    /** Defaults of a target. */
    public companion object {
        /** Concurrent requests. */
        public const val DEFAULT_CAPACITY: Int = 8
    }
}

/** Restricts the requests of [account] to [permittedRegions]; an account without a rule may be served in any region. */
@Serializable
@SerialName("residency-rule")
public data class ResidencyRuleItem(public val account: AccountName, public val permittedRegions: List<RegionName>) :
    EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.RESIDENCY_RULE, account.value)
}

/**
 * A client account and its limits.
 *
 * @property homeRegion the region whose zones execute the account's non-idempotent actions.
 * @property requestsPerSecond the maximum sustained request rate, summed over all hosts.
 * @property requestsInFlight the maximum number of concurrent requests, summed over all hosts.
 * @property weight the share of capacity under contention, relative to other accounts.
 */
@Serializable
@SerialName("account")
public data class AccountItem(
    public val name: AccountName,
    public val homeRegion: RegionName,
    public val requestsPerSecond: Double = DEFAULT_REQUESTS_PER_SECOND,
    public val requestsInFlight: Int = DEFAULT_REQUESTS_IN_FLIGHT,
    public val weight: Double = 1.0,
) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.ACCOUNT, name.value)

    /** Defaults of an account. */
    public companion object {
        /** Requests per second. */
        public const val DEFAULT_REQUESTS_PER_SECOND: Double = 50.0

        /** Concurrent requests. */
        public const val DEFAULT_REQUESTS_IN_FLIGHT: Int = 64
    }
}

/**
 * The routing parameters that operators can set; the only policy is named `default`.
 *
 * @property homeBiasMilliseconds the minimum predicted gain in latency for which a request is routed out of its region.
 * @property linkBytesPerSecond the bandwidth that requests may use on one link between two regions.
 */
@Serializable
@SerialName("policy")
public data class PolicyItem(
    public val homeBiasMilliseconds: Long = DEFAULT_HOME_BIAS_MILLISECONDS,
    public val linkBytesPerSecond: Long = DEFAULT_LINK_BYTES_PER_SECOND,
) : EstateItem {
    override val key: ItemKey get() = ItemKey(ItemKind.POLICY, NAME)

    /** Defaults of the policy. */
    public companion object {
        /** The name of the only policy. */
        public const val NAME: String = "default"

        /** Milliseconds. */
        public const val DEFAULT_HOME_BIAS_MILLISECONDS: Long = 100

        /** Bytes per second. */
        public const val DEFAULT_LINK_BYTES_PER_SECOND: Long = 6_000_000
    }
}
