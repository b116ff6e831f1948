package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import org.buckthornwheel.settings.SettingsReader

internal class SettingsCommand : CliktCommand(name = "settings") {
    override fun help(context: Context): String = "Checks settings files of hosts."

    override fun run(): Unit = Unit
}

internal class SettingsCheckCommand : CliktCommand(name = "check") {
    private val file by argument(help = "The settings file, as JSON; comments are allowed.").path(canBeDir = false)
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Lists every error in the settings file of a host."

    override fun run() {
        val findings = SettingsReader.read(file).leftOrNull().orEmpty()
        if (globalOptions.json) echo(Json.encodeToString(findings))
        if (findings.isEmpty()) return printValid()
        if (!globalOptions.json) findings.forEach { echo(it.toString(), err = true) }
        throw ProgramResult(ExitCode.INVALID_SETTINGS)
    }

    private fun printValid() {
        if (!globalOptions.json) echo("The settings are valid.")
    }
}
