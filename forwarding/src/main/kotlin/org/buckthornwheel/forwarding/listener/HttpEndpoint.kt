/*
 * HTTP endpoints that the host serves itself: readiness, directory, metrics.
 */

package org.buckthornwheel.forwarding.listener

/** A response of an endpoint. */
public data class EndpointResponse(
    public val status: Int,
    public val contentType: String = "text/plain; charset=utf-8",
    public val body: String = "",
)

/** An endpoint that the host serves itself. */
public fun interface HttpEndpoint {
    /** The response to a request with [method] and [uri] (path and query). */
    public fun respond(method: String, uri: String): EndpointResponse
}
