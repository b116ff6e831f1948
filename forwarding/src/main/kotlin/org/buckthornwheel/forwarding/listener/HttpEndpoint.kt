/*
 * HTTP endpoints that the host serves itself: readiness, directory, metrics.
 */

package org.buckthornwheel.forwarding.listener

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

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

/** Responds to each request of a connection with the response of [endpoint]. */
internal class EndpointHandler(private val endpoint: HttpEndpoint) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        val result = if (request.decoderResult().isFailure) {
            EndpointResponse(HttpResponseStatus.BAD_REQUEST.code())
        } else {
            endpoint.respond(request.method().name(), request.uri())
        }
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(result.status),
            Unpooled.wrappedBuffer(result.body.encodeToByteArray()),
        )
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        if (HttpUtil.isKeepAlive(request)) {
            context.writeAndFlush(response)
            return
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    @Deprecated("Netty's own signature")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}
