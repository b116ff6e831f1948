package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.json.put
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.ProxiedRequest
import org.buckthornwheel.forwarding.observability.LogPart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Rejects a request that cannot be proxied. */
internal class RequestRejection(
    private val context: ForwardingContext,
    private val body: ByteBuf,
    private val connection: InboundConnection,
) {
    fun send(status: HttpResponseStatus, reason: String, metadata: RequestMetadata?): ProxiedRequest? {
        val isUnavailable = status == HttpResponseStatus.SERVICE_UNAVAILABLE
        return send(status, reason, metadata, retryAfter = STARTUP_RETRY_AFTER.takeIf { isUnavailable }, account = null)
    }

    /** Rejects a request because of its account. */
    fun send(rejected: Authentication.Rejected, metadata: RequestMetadata): ProxiedRequest? {
        context.meters.accountRejected(rejected.reason)
        val account = rejected.account?.name?.value
        return send(rejected.status, rejected.reason.text, metadata, rejected.retryAfter, account)
    }

    private fun send(
        status: HttpResponseStatus,
        reason: String,
        metadata: RequestMetadata?,
        retryAfter: Duration?,
        account: String?,
    ): ProxiedRequest? {
        body.release()
        val headers = DefaultHttpHeaders()
        metadata?.let { context.dialect.writeGatewayResponse(headers, it.id) }
        retryAfter?.let { headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(it.toDouble(DurationUnit.SECONDS))) }
        context.log.write(LogPart.REQUEST, "answered") {
            put("request", metadata?.id?.value)
            put("status", status.code())
            put("reason", reason)
            account?.let { put("account", it) }
        }
        connection.respond(status, headers, Unpooled.EMPTY_BUFFER)
        return null
    }

    private companion object {
        /** A host that has just started has a manifest after 0.04 to 0.35 s on the users' bench. */
        val STARTUP_RETRY_AFTER = 200.milliseconds
    }
}
