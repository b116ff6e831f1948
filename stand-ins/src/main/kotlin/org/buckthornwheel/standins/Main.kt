/*
 * Minimal stand-ins for the systems outside the gateway: the services of the platform, model engines and plain
 * services. Each runs in its own process, implements the published protocol and keeps its state in memory.
 */

package org.buckthornwheel.standins

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.buckthornwheel.standins.engine.EngineCommand
import org.buckthornwheel.standins.platform.PlatformCommand
import org.buckthornwheel.standins.service.PlainServiceCommand

/** Entry point; the first argument selects the stand-in. */
public fun main(arguments: Array<String>) {
    StandInsCommand().subcommands(PlatformCommand(), EngineCommand(), PlainServiceCommand()).main(arguments)
}
