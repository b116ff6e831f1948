package org.buckthornwheel.decision.ledger

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.decision.routing.RendezvousHash

/** Chooses the availability zone in which an action runs, as a pure function of the estate and the key. */
public object HomeZone {
    /**
     * The home zone of the action [key] that [account] requests from [service]: a permitted zone with targets of the
     * service, in the account's home region if there is one; null if no permitted zone has targets of the service.
     */
    public fun of(estate: Estate, account: AccountName, service: ServiceName, key: ActionKey): ZoneName? {
        val permitted = estate.residencyRule(account)?.permittedRegions
        val zones = estate.index.targetsOf(service)
            .map { it.zone }
            .distinct()
            .filter { permitted == null || estate.index.regionOf(it) in permitted }
        val home = estate.account(account)?.homeRegion
        val preferred = zones.filter { estate.index.regionOf(it) == home }.ifEmpty { zones }
        return RendezvousHash.order(key.toString(), preferred) { it.value }.firstOrNull()
    }
}
