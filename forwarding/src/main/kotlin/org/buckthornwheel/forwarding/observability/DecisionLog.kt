/*
 * The log of decisions: one JSON object on a line of standard output for each.
 *
 * The lines go through an asynchronous appender that drops them, and counts what it dropped, when the output cannot
 * keep up; the caller never waits.
 */

package org.buckthornwheel.forwarding.observability

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.apache.logging.log4j.LogManager

/** What a line is about; [title] is the text in the log. */
public enum class LogPart(internal val title: String) {
    HOST("host"),
    MANIFEST("manifest"),
    REPLICA("replica"),
    MEMBERSHIP("membership"),
    STORE("store"),
    REQUEST("request"),
}

/** Writes decisions of [host]. */
public class DecisionLog(private val host: String) {
    private val logger = LogManager.getLogger("org.buckthornwheel.decisions")

    /** Writes one line: the [part], the [event] and the fields of [fields]. */
    public fun write(part: LogPart, event: String, fields: JsonObjectBuilder.() -> Unit) {
        val line = buildJsonObject {
            put("time", System.currentTimeMillis())
            put("host", host)
            put("part", part.title)
            put("event", event)
            fields()
        }
        logger.info(line.toString())
    }
}
