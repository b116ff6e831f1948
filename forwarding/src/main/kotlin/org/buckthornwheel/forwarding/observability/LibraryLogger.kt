package org.buckthornwheel.forwarding.observability

import io.netty.util.internal.logging.AbstractInternalLogger
import kotlinx.serialization.json.put

/**
 * Writes the warnings and errors of one part of a library, [name], as lines of [log]; the rest is not enabled.
 *
 * Netty's own bridges all start a logging framework; the runtime's takes a seventh of the host's start (decision 0008).
 */
@Suppress("TooManyFunctions") // The library's interface has five levels with six functions each.
internal class LibraryLogger(name: String, private val log: DecisionLog) : AbstractInternalLogger(name) {
    override fun isWarnEnabled(): Boolean = true

    override fun warn(message: String?): Unit = write("warning", message, emptyList())

    override fun warn(format: String?, argument: Any?): Unit = write("warning", format, listOf(argument))

    override fun warn(format: String?, first: Any?, second: Any?): Unit =
        write("warning", format, listOf(first, second))

    override fun warn(format: String?, vararg arguments: Any?): Unit = write("warning", format, arguments.asList())

    override fun warn(message: String?, cause: Throwable?): Unit = write("warning", message, listOf(cause))

    override fun isErrorEnabled(): Boolean = true

    override fun error(message: String?): Unit = write("error", message, emptyList())

    override fun error(format: String?, argument: Any?): Unit = write("error", format, listOf(argument))

    override fun error(format: String?, first: Any?, second: Any?): Unit = write("error", format, listOf(first, second))

    override fun error(format: String?, vararg arguments: Any?): Unit = write("error", format, arguments.asList())

    override fun error(message: String?, cause: Throwable?): Unit = write("error", message, listOf(cause))

    override fun isInfoEnabled(): Boolean = false

    override fun info(message: String?): Unit = Unit

    override fun info(format: String?, argument: Any?): Unit = Unit

    override fun info(format: String?, first: Any?, second: Any?): Unit = Unit

    override fun info(format: String?, vararg arguments: Any?): Unit = Unit

    override fun info(message: String?, cause: Throwable?): Unit = Unit

    override fun isDebugEnabled(): Boolean = false

    override fun debug(message: String?): Unit = Unit

    override fun debug(format: String?, argument: Any?): Unit = Unit

    override fun debug(format: String?, first: Any?, second: Any?): Unit = Unit

    override fun debug(format: String?, vararg arguments: Any?): Unit = Unit

    override fun debug(message: String?, cause: Throwable?): Unit = Unit

    override fun isTraceEnabled(): Boolean = false

    override fun trace(message: String?): Unit = Unit

    override fun trace(format: String?, argument: Any?): Unit = Unit

    override fun trace(format: String?, first: Any?, second: Any?): Unit = Unit

    override fun trace(format: String?, vararg arguments: Any?): Unit = Unit

    override fun trace(message: String?, cause: Throwable?): Unit = Unit

    /** The last of [arguments] is the cause if it is an exception and [format] has no place for it. */
    private fun write(event: String, format: String?, arguments: List<Any?>) {
        val pieces = format.orEmpty().split(PLACE)
        val cause = arguments.lastOrNull().takeIf { it is Throwable && arguments.size >= pieces.size }
        log.write(LogPart.LIBRARY, event) {
            put("logger", name())
            put("message", filled(pieces, arguments))
            cause?.let { put("cause", it.toString()) }
        }
    }

    private fun filled(pieces: List<String>, arguments: List<Any?>): String = buildString {
        append(pieces.first())
        for ((index, piece) in pieces.drop(1).withIndex()) {
            append(if (index < arguments.size) arguments[index].toString() else PLACE)
            append(piece)
        }
    }

    private companion object {
        /** Where the library's messages want an argument. */
        const val PLACE = "{}"
        const val serialVersionUID = 1L
    }
}
