package org.buckthornwheel.testing

import java.nio.file.Path
import kotlin.io.path.readText

/** The exit code and the output of one run of the command line. */
public data class CommandRun(public val exitCode: Int, public val output: String)

/** Runs the operators' command line in a separate process; its output is written to [directory]. */
public class CommandLine(private val directory: Path) {
    private var runCount = 0

    /** Runs the command line with [arguments] and waits until it exits. */
    public fun run(vararg arguments: String): CommandRun {
        runCount += 1
        ChildProcess.java("command-line-$runCount", directory, MAIN_CLASS, arguments.toList()).use { process ->
            val exitCode = requireNotNull(process.awaitExit(TIMEOUT_SECONDS)) { "the command did not exit in time" }
            return CommandRun(exitCode, process.output.readText())
        }
    }

    private companion object {
        const val MAIN_CLASS = "org.buckthornwheel.commandline.MainKt"
        const val TIMEOUT_SECONDS = 60L
    }
}
