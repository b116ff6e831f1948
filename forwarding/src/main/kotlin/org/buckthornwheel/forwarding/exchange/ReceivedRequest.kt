package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.buckthornwheel.forwarding.dialect.RequestMetadata

/** A complete request as it was read from the connection, with its policy and what it took of its account's limit. */
internal class ReceivedRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val metadata: RequestMetadata,
    val policy: RequestPolicy,
    val charge: QuotaCharge? = null,
)
