/*
 * Describes a local estate: its zones with their hosts, engines and services, and its accounts.
 */

package org.buckthornwheel.testing

import org.buckthornwheel.settings.OrderSettings
import org.buckthornwheel.settings.TimeoutSettings

/** An availability zone: its name, its region, and the number of processes of each kind in it. */
public data class ZoneLayout(
    public val name: String,
    public val region: String,
    public val hosts: Int,
    public val engines: Int,
    public val services: Int,
)

/** A client account with the bearer token of its callers. */
public data class AccountLayout(public val name: String, public val token: String, public val homeRegion: String)

/** The zones, accounts and settings of a local estate. */
public data class EstateLayout(
    public val zones: List<ZoneLayout>,
    public val accounts: List<AccountLayout>,
    public val timeouts: TimeoutSettings,
    public val orders: OrderSettings,
    public val engineArguments: List<String>,
    public val serviceArguments: List<String>,
)

/** Builds an [EstateLayout]; the default is two zones in different regions, with two hosts in the first zone. */
public class EstateLayoutBuilder internal constructor() {
    private val zones = ArrayList<ZoneLayout>()
    private val accounts = ArrayList<AccountLayout>()

    /** Timeout settings of every host. */
    public var timeouts: TimeoutSettings = TimeoutSettings(heartbeatIntervalMilliseconds = 250)

    /** Settings of every host for sending orders to targets. */
    public var orders: OrderSettings = OrderSettings()

    /** Additional command-line arguments of every engine stand-in. */
    public var engineArguments: List<String> = emptyList()

    /** Additional command-line arguments of every replica of the plain service. */
    public var serviceArguments: List<String> = emptyList()

    /** Adds a zone. */
    public fun zone(name: String, region: String, hosts: Int = 1, engines: Int = 1, services: Int = 1) {
        zones += ZoneLayout(name, region, hosts, engines, services)
    }

    /** Adds an account. */
    public fun account(name: String, token: String, homeRegion: String) {
        accounts += AccountLayout(name, token, homeRegion)
    }

    internal fun build(): EstateLayout {
        if (zones.isEmpty()) {
            zone("salish-south-a", "salish-south", hosts = 2)
            zone("strait-north-a", "strait-north")
        }
        if (accounts.isEmpty()) account("halvorsen", "halvorsen-token", zones.first().region)
        return EstateLayout(
            zones.toList(),
            accounts.toList(),
            timeouts,
            orders,
            engineArguments,
            serviceArguments,
        )
    }
}

/** Builds the layout of a local estate. */
public fun estateLayout(block: EstateLayoutBuilder.() -> Unit = {}): EstateLayout =
    EstateLayoutBuilder().apply(block).build()
