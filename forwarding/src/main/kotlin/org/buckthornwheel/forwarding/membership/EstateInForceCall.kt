package org.buckthornwheel.forwarding.membership

import org.buckthornwheel.forwarding.exchange.HostCall

/** Tells what this host has in force to hosts that cannot tell whether the store is current. */
internal class EstateInForceCall(private val estateSync: () -> EstateSync) : HostCall {
    override fun respond(parameters: Map<String, String>): String? =
        estateSync().inForce(parameters[EstateInquiry.VERSION]?.toLongOrNull() ?: 0)
}
