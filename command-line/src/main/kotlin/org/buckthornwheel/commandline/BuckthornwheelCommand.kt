package org.buckthornwheel.commandline

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.findOrSetObject
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path

/** The options before the subcommand: the host to call, the bearer token, trusted authorities and output format. */
internal class GlobalOptions {
    var address: String = DEFAULT_ADDRESS
    var token: String? = null
    var json: Boolean = false
    var authorityCertificate: Path? = null

    companion object {
        /** Base URL of the administration API of a host on the local machine. */
        const val DEFAULT_ADDRESS: String = "http://127.0.0.1:8081"
    }
}

/** The root command; its options are given before the subcommand and apply to every subcommand. */
internal class BuckthornwheelCommand : CliktCommand(name = "buckthornwheel") {
    private val address by option(
        help = "Base URL of a host's administration API.",
        envvar = "BUCKTHORNWHEEL_ADDRESS",
    ).default(GlobalOptions.DEFAULT_ADDRESS)
    private val token by option(help = "Bearer token of the administration API.", envvar = "BUCKTHORNWHEEL_TOKEN")
    private val json by option(help = "Print JSON instead of tables.").flag()
    private val authorityCertificate by option(
        help = "PEM file with the only certificate authorities to trust for https.",
        envvar = "BUCKTHORNWHEEL_AUTHORITY_CERTIFICATE",
    ).path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val globalOptions by findOrSetObject { GlobalOptions() }

    init {
        completionOption(help = "Print a completion script for the shell and exit.")
    }

    override fun help(context: Context): String = "Operates a buckthornwheel estate through any of its hosts."

    override fun helpEpilog(context: Context): String = ExitCode.HELP

    override fun run() {
        globalOptions.address = address
        globalOptions.token = token
        globalOptions.json = json
        globalOptions.authorityCertificate = authorityCertificate
    }
}
