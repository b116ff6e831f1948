/*
 * The log of decisions: one JSON object on a line of standard output for each.
 *
 * Lines are dropped and counted when the output cannot keep up; the caller never waits. There is no logging framework
 * behind it: starting one took more processor time than the rest of the host's start (decision 0008).
 */

package org.buckthornwheel.forwarding.observability

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Duration

/** What a line is about; [title] is the text in the log. */
public enum class LogPart(internal val title: String) {
    HOST("host"),
    MANIFEST("manifest"),
    REPLICA("replica"),
    MEMBERSHIP("membership"),
    STORE("store"),
    REQUEST("request"),
    LIBRARY("library"),
}

/** Writes decisions of [host]. */
public class DecisionLog internal constructor(private val host: String, private val output: LineOutput) {
    /** A log on the process's standard output. */
    public constructor(host: String) : this(host, LineOutput.STANDARD)

    /** Lines that were dropped since the start. */
    public val dropped: Long get() = output.dropped

    /** Writes one line: the [part], the [event] and the fields of [fields]. */
    public fun write(part: LogPart, event: String, fields: JsonObjectBuilder.() -> Unit) {
        val line = buildJsonObject {
            put("time", System.currentTimeMillis())
            put("host", host)
            put("part", part.title)
            put("event", event)
            fields()
        }
        output.add(line.toString())
    }

    /** Waits until the lines are written, [limit] at most; for the end of the process. */
    public fun flush(limit: Duration): Unit = output.flush(limit)
}
