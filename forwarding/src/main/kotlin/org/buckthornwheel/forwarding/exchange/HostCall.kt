package org.buckthornwheel.forwarding.exchange

/** A call that one host makes to another, apart from forwarded requests. */
internal fun interface HostCall {
    /** The body of the response to a call with [parameters]; null if there is nothing to tell. */
    fun respond(parameters: Map<String, String>): String?
}
