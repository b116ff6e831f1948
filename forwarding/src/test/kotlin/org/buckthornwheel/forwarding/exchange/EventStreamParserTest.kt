package org.buckthornwheel.forwarding.exchange

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.buckthornwheel.forwarding.fixture.growthOfWork
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.random.Random

internal class EventStreamParserTest {
    private fun bytes(text: String): ByteBuf = Unpooled.copiedBuffer(text, Charsets.UTF_8)

    private fun EventStreamParser.addText(text: String): List<StreamEvent> = add(bytes(text))

    private fun List<StreamEvent>.texts(): List<String> = map { it.bytes.toString(Charsets.UTF_8) }

    /** Splits [text] at random places. */
    private fun split(text: String, random: Random): List<String> {
        val cuts = (0 until random.nextInt(text.length)).map { random.nextInt(text.length) }.toSortedSet()
        return (listOf(0) + cuts + text.length).zipWithNext { begin, end -> text.substring(begin, end) }
    }

    @Test
    fun `the events do not depend on how the bytes are split`() {
        val text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n\r\n: comment\n\ndata: c\nid: 3\n\nid: 4\nda"
        val whole = EventStreamParser().addText(text)
        expectThat(whole.map { it.id }).isEqualTo(listOf("1", "2", null, "3"))
        for (seed in 1..200) {
            val parser = EventStreamParser()
            val events = split(text, Random(seed)).flatMap { parser.addText(it) }
            expectThat(events.texts()).isEqualTo(whole.texts())
            expectThat(parser.isInsideEvent).isTrue()
        }
    }

    @Test
    fun `line ends between events are no events of their own, and none is lost`() {
        val parser = EventStreamParser()
        expectThat(parser.addText("\n\r\n\n")).isEqualTo(emptyList())
        expectThat(parser.addText("data: a\n\n\n").texts()).isEqualTo(listOf("\n\r\n\ndata: a\n\n"))
        expectThat(parser.isInsideEvent).isFalse()
        expectThat(parser.takeRemainder().toString(Charsets.UTF_8)).isEqualTo("\n")
    }

    @Test
    fun `line ends without end are too long an event`() {
        val parser = EventStreamParser()
        parser.addText("\n".repeat(70_000))
        expectThat(parser.isEventTooLong).isTrue()
    }

    /** Guards against an incomplete event that is scanned from its start again for each chunk. */
    @Test
    fun `the work for an event in chunks of one byte grows with its length, not with the square of its length`() {
        val growth = growthOfWork(size = 15_000) { size ->
            val parser = EventStreamParser()
            repeat(size) { parser.addText("x") }
        }
        expectThat(growth).isLessThan(8.0)
    }
}
