package org.buckthornwheel.forwarding.connection

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/**
 * Why a response will not be completed.
 *
 * @property isStale whether the target had probably dropped the connection while it was idle. Then the failure says
 *   nothing about the health of the target, but the request may still have run.
 * @property isConnectionLost whether the target or the network closed the connection.
 */
internal class ConnectionFailure(val reason: String, val isStale: Boolean, val isConnectionLost: Boolean)

/** Why no connection was established; [isRefused] is whether the target's machine refused it. */
internal class ConnectFailure(val reason: String, val isRefused: Boolean)

/** Receives the response to one request on a connection to a target; called on the connection's event loop. */
internal interface ResponseListener {
    /** Whether the response with this head belongs to the request; otherwise it is read and discarded. */
    fun accepts(head: HttpResponse): Boolean

    /** Called with the head of the response. */
    fun onHead(head: HttpResponse)

    /** Called with a part of the body; the listener has to release it. */
    fun onContent(content: ByteBuf)

    /** Called when the response is complete. */
    fun onComplete()

    /** Called when the response will not be completed. */
    fun onFailure(failure: ConnectionFailure)
}
