package org.buckthornwheel.testing

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** An operating-system process started by a test or the demonstration; its output is written to the file [output]. */
public class ChildProcess private constructor(
    public val name: String,
    private val process: Process,
    public val output: Path,
) : AutoCloseable {
    /** The process id in the operating system. */
    public val identifier: Long get() = process.pid()

    /** Whether the process is still running. */
    public val isAlive: Boolean get() = process.isAlive

    /** Requests the process to terminate (SIGTERM). */
    public fun terminate(): Unit = process.destroy()

    /** Kills the process (SIGKILL) and waits until it has ended. */
    public fun kill() {
        process.destroyForcibly()
        process.waitFor()
    }

    /** Suspends the process (SIGSTOP). */
    public fun freeze(): Unit = signal("STOP")

    /** Resumes a suspended process (SIGCONT). */
    public fun thaw(): Unit = signal("CONT")

    /** Waits until the process ends; returns its exit code, or null if it is still running after [seconds]. */
    public fun awaitExit(seconds: Long): Int? =
        if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null

    override fun close() {
        if (process.isAlive) kill()
    }

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", identifier.toString()).start().waitFor()
    }

    /** Starts processes. */
    public companion object {
        /** JVM flags that limit memory, for many small processes on one machine. */
        public val SMALL_MEMORY: List<String> = listOf(
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=32m",
            "-Xss512k",
            "-Xshare:auto",
        )

        /** Starts [mainClass] in a new JVM with the class path of this process and the JVM flags [memory]. */
        public fun java(
            name: String,
            directory: Path,
            mainClass: String,
            arguments: List<String>,
            memory: List<String> = SMALL_MEMORY,
        ): ChildProcess {
            val java = File(System.getProperty("java.home"), "bin/java").path
            val command = listOf(java) + memory +
                listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments
            val output = directory.resolve("$name.log")
            val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile()).start()
            return ChildProcess(name, process, output)
        }
    }
}
