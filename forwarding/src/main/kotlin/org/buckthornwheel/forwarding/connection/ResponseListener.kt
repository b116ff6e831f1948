package org.buckthornwheel.forwarding.connection

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Why an answer will not be whole.
 *
 * @property isForgotten whether the target seems to have forgotten the connection while it was idle. Then the breakage
 *   says nothing about the target; the request may have run all the same.
 */
internal class ConnectionFailure(val reason: String, val isStale: Boolean)

/** Receives the answer to one request on a connection to a target; called on the connection's event loop. */
internal interface ResponseListener {
    /** Whether the answer with this head belongs to the request; one that does not is read and dropped. */
    fun accepts(head: HttpResponse): Boolean

    /** The answer's head. */
    fun onHead(head: HttpResponse)

    /** A piece of the body; the receiver releases it. */
    fun onContent(content: ByteBuf)

    /** The answer is whole. */
    fun onComplete()

    /** The answer will not be whole. */
    fun onFailure(failure: ConnectionFailure)
}
