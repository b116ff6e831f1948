/*
 * Structured log of decisions, with one JSON object per line on standard output.
 *
 * Lines are dropped and counted when the output cannot keep up, so that logging never blocks. No logging framework is
 * used, since its initialization took more processor time than the rest of the host's start (decision 0008).
 */

package org.buckthornwheel.forwarding.observability

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Duration

/** Component that a line is about; [title] is its name in the log. */
public enum class LogPart(internal val title: String) {
    HOST("host"),
    MANIFEST("manifest"),
    REPLICA("replica"),
    MEMBERSHIP("membership"),
    STORE("store"),
    REQUEST("request"),
    QUARANTINE("quarantine"),
    LIBRARY("library"),
}

/** Writes the decisions of [host]. */
public class DecisionLog internal constructor(private val host: String, private val output: LineOutput) {
    /** A log that writes to standard output. */
    public constructor(host: String) : this(host, LineOutput.STANDARD)

    /** Number of lines that were dropped since the start. */
    public val dropped: Long get() = output.dropped

    /** Writes one line with [part], [event] and the fields that [fields] adds. */
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

    /** Waits until all lines are written, but at most [limit]; used at the end of the process. */
    public fun flush(limit: Duration): Unit = output.flush(limit)
}
