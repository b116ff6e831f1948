package org.buckthornwheel.daemon.observability

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator
import org.buckthornwheel.settings.LogLevel

private const val PROJECT_LOGGER = "org.buckthornwheel"

/** Sets the level of the project's loggers; lines less severe than [level] are not logged. */
internal fun setLogLevel(level: LogLevel): Unit = Configurator.setAllLevels(PROJECT_LOGGER, Level.valueOf(level.name))
