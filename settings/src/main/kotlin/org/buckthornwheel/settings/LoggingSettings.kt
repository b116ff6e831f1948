package org.buckthornwheel.settings

import kotlinx.serialization.Serializable

/** The amount of logging. */
@Serializable
public data class LoggingSettings(public val level: LogLevel = LogLevel.INFO)

/** The least severe level that is logged. */
@Serializable
public enum class LogLevel {
    /** Only failures. */
    ERROR,

    /** Also conditions that may need an operator's attention. */
    WARN,

    /** Also state changes. */
    INFO,

    /** Also every request. */
    DEBUG,
}
