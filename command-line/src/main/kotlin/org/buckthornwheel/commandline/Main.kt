/*
 * The command line for operators.
 */

package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of the command line. */
public fun main(arguments: Array<String>): Unit = commandLine().main(arguments)

/** Creates the root command with all its subcommands. */
internal fun commandLine(): CliktCommand = BuckthornwheelCommand().subcommands(
    SettingsCommand().subcommands(SettingsCheckCommand()),
    ReleaseNoteCommand().subcommands(
        ReleaseNoteCheckCommand(),
        ReleaseNoteSubmitCommand(),
        ReleaseNoteShowCommand(),
        ReleaseNoteHistoryCommand(),
    ),
    EstateCommand().subcommands(EstateShowCommand()),
    HostsCommand(),
    TargetsCommand(),
    AuditCommand(),
    DrainCommand(),
    CallCommand(),
)
