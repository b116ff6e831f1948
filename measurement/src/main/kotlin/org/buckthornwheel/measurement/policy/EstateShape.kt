package org.buckthornwheel.measurement.policy

import org.buckthornwheel.api.estate.PolicyItem
import org.buckthornwheel.testing.EstateLayout
import org.buckthornwheel.testing.estateLayout

/** A region and its number of engines. */
internal data class RegionEngines(val region: String, val engines: Int)

/**
 * A model of a user's estate, scaled down to one machine: three regions with one zone and one host each.
 *
 * @property policy routing weights set by the operator.
 */
internal enum class EstateShape(val regions: List<RegionEngines>, val policy: PolicyItem) {
    /** Prefers low tail latency: a request is forwarded as soon as another region is predicted to be faster. */
    HALVORSEN(
        regions = listOf(
            RegionEngines("salish-south", engines = 4),
            RegionEngines("strait-north", engines = 4),
            RegionEngines("outer-coast", engines = 4),
        ),
        policy = PolicyItem(homeBiasMilliseconds = 0),
    ),

    /** Prefers low cost and local serving: a request is forwarded to another region only for a large gain. */
    BENNANI(
        regions = listOf(
            RegionEngines("fes", engines = 3),
            RegionEngines("casablanca", engines = 3),
            RegionEngines("marseille", engines = 2),
        ),
        policy = PolicyItem(homeBiasMilliseconds = 1_000),
    ),
    ;

    fun layout(): EstateLayout = estateLayout {
        regions.forEach { zone("${it.region}-a", it.region, hosts = 1, engines = it.engines, services = 0) }
        engineArguments = listOf(
            "--first-token",
            "$FIRST_TOKEN_MILLISECONDS",
            "--token-interval",
            "$TOKEN_MILLISECONDS",
            "--slots",
            "$SLOTS",
        )
    }

    /** Requests per second that the engines of the region at [index] can serve. */
    fun capacityOf(index: Int): Double = regions[index].engines * SLOTS / SERVICE_SECONDS

    companion object {
        /** Tokens generated for each request. */
        const val TOKENS: Int = 8

        /** Requests that one engine processes concurrently. */
        const val SLOTS: Int = 4

        private const val FIRST_TOKEN_MILLISECONDS = 50
        private const val TOKEN_MILLISECONDS = 40
        private const val SERVICE_SECONDS = (FIRST_TOKEN_MILLISECONDS + (TOKENS - 1) * TOKEN_MILLISECONDS) / 1_000.0
    }
}
