package org.buckthornwheel.forwarding.observability

import io.netty.util.internal.logging.InternalLogger
import io.netty.util.internal.logging.InternalLoggerFactory
import kotlinx.serialization.json.put
import java.util.logging.Handler
import java.util.logging.Level
import java.util.logging.LogRecord
import java.util.logging.Logger

/**
 * Passes on the warnings of libraries as lines of [log].
 *
 * The network library, which every host uses from its first moment, gets loggers of its own. Other libraries use the
 * runtime's logging, which costs a seventh of the host's start; it is set up when the first of them asks for it.
 */
public class LibraryLog private constructor(private val log: DecisionLog) : InternalLoggerFactory() {
    override fun newInstance(name: String): InternalLogger = LibraryLogger(name, log)

    /** Set-up. */
    public companion object {
        /** The runtime makes an instance of the class that this property names when its logging is first used. */
        private const val CONFIGURATION = "java.util.logging.config.class"

        @Volatile
        internal var installed: DecisionLog? = null
            private set

        /** Sends the warnings of all libraries to [log]; to be called before any of them is used. */
        public fun install(log: DecisionLog) {
            installed = log
            System.setProperty(CONFIGURATION, RuntimeLogConfiguration::class.java.name)
            setDefaultFactory(LibraryLog(log))
        }
    }
}

/** Sets the runtime's logging up, which makes an instance of this class by its name. */
internal class RuntimeLogConfiguration {
    init {
        val root = Logger.getLogger("")
        root.handlers.forEach(root::removeHandler)
        root.level = Level.WARNING
        LibraryLog.installed?.let { root.addHandler(LibraryLogHandler(it)) }
    }
}

private class LibraryLogHandler(private val log: DecisionLog) : Handler() {
    override fun publish(record: LogRecord) {
        if (record.level.intValue() < Level.WARNING.intValue()) return
        log.write(LogPart.LIBRARY, "warning") {
            put("logger", record.loggerName)
            put("message", record.message)
            record.thrown?.let { put("cause", it.toString()) }
        }
    }

    override fun flush(): Unit = Unit

    override fun close(): Unit = Unit
}
