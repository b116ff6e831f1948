package org.buckthornwheel.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.buckthornwheel.daemon.observability.setLogLevel
import org.buckthornwheel.settings.HostSettings
import org.buckthornwheel.settings.SettingsReader
import java.io.IOException
import java.nio.file.Path

/** Exit codes of the daemon. */
private object ExitCode {
    /** The settings cannot be used (`EX_CONFIG` of sysexits.h). */
    const val BAD_SETTINGS = 78

    /** The operating system denies a resource that the host needs, such as an address (`EX_OSERR` of sysexits.h). */
    const val CANNOT_START = 71
}

/** Reads the settings and runs one entry host until it is stopped. */
internal class DaemonCommand : CliktCommand(name = "buckthornwheeld") {
    private val settings: Path by option(help = "Settings file, JSON with comments.").path().required()
    private val checkSettings by option(help = "Check the settings and exit.").flag()

    override fun help(context: Context): String = "Runs one entry host until it is stopped (SIGTERM)."

    override fun helpEpilog(context: Context): String = "Exit codes: 0 stopped; 1 wrong usage; " +
        "${ExitCode.CANNOT_START} cannot start; ${ExitCode.BAD_SETTINGS} settings cannot be used."

    override fun run() {
        val checked = SettingsReader.read(settings).fold(
            ifLeft = { findings ->
                findings.forEach { echo(it.toString(), err = true) }
                throw ProgramResult(ExitCode.BAD_SETTINGS)
            },
            ifRight = { it },
        )
        if (checkSettings) return echo("The settings are valid.")
        serve(checked)
    }

    /** Stops the gateway and exits with code 0; a signal would otherwise set its own exit code. */
    private fun stop(gateway: Gateway) {
        gateway.stop()
        gateway.awaitEnd()
        Runtime.getRuntime().halt(0)
    }

    private fun serve(checked: HostSettings) {
        setLogLevel(checked.logging.level)
        System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
        val gateway = Gateway(checked)
        try {
            gateway.start()
        } catch (failure: IOException) {
            echo("Host ${checked.host.name} cannot start: ${failure.message}.", err = true)
            throw ProgramResult(ExitCode.CANNOT_START)
        }
        Runtime.getRuntime().addShutdownHook(Thread({ stop(gateway) }, "shutdown"))
        gateway.awaitEnd()
    }

    private companion object {
        /** Property of Ktor's shutdown hook, which would cut connections on a signal, during the graceful shutdown. */
        const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
    }
}
