package org.buckthornwheel.daemon.observability

import org.apache.logging.log4j.kotlin.KotlinLogger
import org.apache.logging.log4j.kotlin.logger

/** A part of the daemon that logs; each of its log lines starts with [prefix]. */
internal enum class Part(private val prefix: String) {
    GATEWAY("gateway"),
    CONFIGURATION("configuration"),
    MEMBERSHIP("membership"),
    FLEET("fleet"),
    DIRECTORY("directory"),
    REQUEST("request"),
    ACTION("action"),
    ORDERS("orders"),
    ADMINISTRATION("administration"),
    AUDIT("audit"),
    PEER("peer"),
    ;

    private val log: KotlinLogger = logger("org.buckthornwheel.$prefix")

    fun info(sentence: String): Unit = log.info { "$prefix: $sentence" }

    fun debug(sentence: String): Unit = log.debug { "$prefix: $sentence" }

    fun warn(sentence: String): Unit = log.warn { "$prefix: $sentence" }
}
