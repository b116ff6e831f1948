package org.buckthornwheel.forwarding.front

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest

/** Collects the body of a request. */
internal class RequestAssembler(val head: HttpRequest, private val maximumBodyBytes: Int) {
    private val body: CompositeByteBuf = Unpooled.compositeBuffer(MAXIMUM_COMPONENTS)

    /** Adds the bytes of [content]; false if the body would be too long. */
    fun add(content: HttpContent): Boolean {
        val bytes = content.content()
        if (body.readableBytes() + bytes.readableBytes() > maximumBodyBytes) return false
        if (bytes.isReadable) body.addComponent(true, bytes.retain())
        return true
    }

    /** The complete body; the caller of this function has to release it. */
    fun takeBody(): ByteBuf = body

    fun discard() {
        body.release()
    }

    private companion object {
        const val MAXIMUM_COMPONENTS = 256
    }
}
