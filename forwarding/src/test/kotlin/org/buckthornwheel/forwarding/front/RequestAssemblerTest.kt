package org.buckthornwheel.forwarding.front

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.buckthornwheel.forwarding.fixture.growthOfWork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

internal class RequestAssemblerTest {
    private val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/act/x")

    private fun assembler(maximumBytes: Int = MAXIMUM_BYTES) = RequestAssembler(head, maximumBytes)

    /** Adds [bytes] as one chunk, and releases it as the connection does. */
    private fun RequestAssembler.addChunk(bytes: ByteArray): Boolean {
        val content = DefaultHttpContent(Unpooled.wrappedBuffer(bytes))
        return add(content).also { content.release() }
    }

    @Test
    fun `the body consists of all chunks in their order, whatever their sizes`() {
        for (seed in 1..50) {
            val random = Random(seed)
            val chunks = List(random.nextInt(1, 400)) {
                random.nextBytes(
                    random.nextInt(
                        if (it % 7 ==
                            0
                        ) {
                            5_000
                        } else {
                            9
                        },
                    ),
                )
            }
            val assembler = assembler()
            chunks.forEach { expectThat(assembler.addChunk(it)).isTrue() }
            val body = assembler.takeBody()
            val found = ByteArray(body.readableBytes()).also { body.readBytes(it) }
            expectThat(found.toList()).isEqualTo(chunks.flatMap { it.toList() })
            expectThat(body.release()).isTrue()
        }
    }

    @Test
    fun `a body that is longer than the limit is refused at the first byte too many`() {
        val assembler = assembler(maximumBytes = 3)
        repeat(3) { expectThat(assembler.addChunk(byteArrayOf(1))).isTrue() }
        expectThat(assembler.addChunk(byteArrayOf(1))).isFalse()
        assembler.discard()
    }

    /** Guards against a body that is copied as a whole again and again while it arrives in small chunks. */
    @Test
    fun `the work for a body in chunks of one byte grows with its length, not with the square of its length`() {
        val growth = growthOfWork(size = 500_000) { size ->
            val assembler = assembler()
            val chunk = byteArrayOf(1)
            repeat(size) { assembler.addChunk(chunk) }
            assembler.discard()
        }
        expectThat(growth).isLessThan(8.0)
    }

    private companion object {
        const val MAXIMUM_BYTES = 4_194_304
    }
}
