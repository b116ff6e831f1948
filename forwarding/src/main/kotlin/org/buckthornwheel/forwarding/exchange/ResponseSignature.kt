package org.buckthornwheel.forwarding.exchange

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import org.buckthornwheel.forwarding.dialect.ResponseMetadata

/** Whether the response with [head] is a success that no replica has signed. */
internal fun ResponseMetadata.isUnsignedSuccess(head: HttpResponse): Boolean =
    head.status().codeClass() == HttpStatusClass.SUCCESS && !isSigned
