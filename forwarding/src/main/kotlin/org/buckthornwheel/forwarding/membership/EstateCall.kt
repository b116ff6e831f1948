package org.buckthornwheel.forwarding.membership

import kotlinx.serialization.json.put
import org.buckthornwheel.forwarding.exchange.HostCall
import org.buckthornwheel.forwarding.observability.DecisionLog
import org.buckthornwheel.forwarding.observability.LogPart

/** Tells estate changes to hosts that cannot read them from the store. */
internal class EstateCall(private val estateSync: () -> EstateSync, private val log: DecisionLog) : HostCall {
    override fun respond(parameters: Map<String, String>): String? {
        val after = EstateRevision(
            era = parameters[EstateRecovery.ERA]?.toLongOrNull() ?: 0,
            number = parameters[EstateRecovery.AFTER]?.toLongOrNull() ?: 0,
        )
        val changes = estateSync().changesAfter(after)
        log.write(LogPart.STORE, "changes sent to a peer") {
            put("era", after.era)
            put("after", after.number)
            put("bytes", changes?.encodeToByteArray()?.size ?: 0)
        }
        return changes
    }
}
