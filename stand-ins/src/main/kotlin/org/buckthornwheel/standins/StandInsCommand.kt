package org.buckthornwheel.standins

import com.github.ajalt.clikt.core.CliktCommand

/** The root command; every stand-in is a subcommand of it. */
internal class StandInsCommand : CliktCommand(name = "stand-ins") {
    override fun run(): Unit = Unit
}
