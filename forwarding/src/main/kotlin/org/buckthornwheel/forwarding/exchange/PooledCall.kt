package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.forwarding.client.CallResult
import org.buckthornwheel.forwarding.connection.ConnectionFailure
import org.buckthornwheel.forwarding.connection.ResponseListener
import org.buckthornwheel.forwarding.connection.TargetConnection
import org.buckthornwheel.forwarding.dialect.RequestDialect
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A call of the gateway's own on a pooled [connection]; passes its result to [done], on the event loop. */
internal class PooledCall(
    private val connection: TargetConnection,
    private val dialect: RequestDialect,
    private val timeout: Duration,
    private val done: (CallResult) -> Unit,
) : ResponseListener {
    private val text = StringBuilder()
    private var status = 0
    private var isEnded = false
    private var timer: ScheduledFuture<*>? = null

    fun send(path: String, address: NetworkAddress) {
        timer = connection.channel.eventLoop()
            .schedule({ fail("response timed out") }, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path)
        request.headers().set(HttpHeaderNames.HOST, address.toString())
        connection.send(request, Unpooled.EMPTY_BUFFER, this)
    }

    /** A response that names a request is a late one to that request. */
    override fun accepts(head: HttpResponse): Boolean =
        dialect.readResponse(head.status().code(), head.headers()).requestId == null

    override fun onHead(head: HttpResponse) {
        status = head.status().code()
    }

    override fun onContent(content: ByteBuf) {
        text.append(content.toString(Charsets.UTF_8))
        content.release()
        if (text.length > MAXIMUM_LENGTH) fail("too long a response")
    }

    override fun onComplete(): Unit = end(CallResult.Answered(status, text.toString()))

    override fun onFailure(failure: ConnectionFailure): Unit = fail(failure.reason)

    private fun fail(reason: String) {
        if (!isEnded) connection.cancel()
        end(CallResult.Failed(reason, connection.key.address.toString(), wasSent = true))
    }

    private fun end(result: CallResult) {
        if (isEnded) return
        isEnded = true
        timer?.cancel(false)
        done(result)
    }

    private companion object {
        const val MAXIMUM_LENGTH = 65_536
    }
}
