package org.buckthornwheel.forwarding.observability

import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import kotlinx.serialization.json.put
import java.util.logging.Handler
import java.util.logging.Level
import java.util.logging.LogManager
import java.util.logging.LogRecord
import java.util.logging.Logger

/** Writes the warnings of libraries, which use `java.util.logging`, as lines of [log]. */
public class LibraryLog private constructor(private val log: DecisionLog) : Handler() {
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

    /** Installation. */
    public companion object {
        /** Redirects the warnings of all libraries to [log]; must be called before any library is used. */
        public fun install(log: DecisionLog) {
            InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
            LogManager.getLogManager().reset()
            val root = Logger.getLogger("")
            root.level = Level.WARNING
            root.addHandler(LibraryLog(log))
        }
    }
}
