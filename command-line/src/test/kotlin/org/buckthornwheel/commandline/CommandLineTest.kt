package org.buckthornwheel.commandline

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.writeText

class CommandLineTest {
    private fun run(vararg arguments: String): CliktCommandTestResult = commandLine().test(arguments.toList())

    /** Runs the command line against a host that sends the same response to every request. */
    private fun runAgainstHost(status: Int, body: String, vararg arguments: String): CliktCommandTestResult {
        val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
            routing {
                route("{path...}") {
                    handle { call.respondText(body, ContentType.Application.Json, HttpStatusCode.fromValue(status)) }
                }
            }
        }.start()
        try {
            val port = runBlocking { server.engine.resolvedConnectors().single().port }
            return run("--address", "http://127.0.0.1:$port", *arguments)
        } finally {
            server.stop(0, 0)
        }
    }

    @Nested
    inner class `given a host that responds` {
        @Test
        fun `the hosts command prints a table`() {
            val result = runAgainstHost(200, HOSTS, "hosts")
            expectThat(result.statusCode).isEqualTo(0)
            expectThat(result.stdout).contains("salish-south-a-host-1")
        }

        @Test
        fun `with --json the response body is printed unchanged`() {
            expectThat(runAgainstHost(200, HOSTS, "--json", "hosts").stdout.trim()).isEqualTo(HOSTS)
        }

        @Test
        fun `the audit command warns that entries may be missing`() {
            val result = runAgainstHost(200, """{"entries":[],"missing":"no answer"}""", "audit")
            expectThat(result.stderr).contains("Entries may be missing: no answer")
        }
    }

    @Nested
    inner class `given a host that fails or cannot be reached` {
        @ParameterizedTest
        @ValueSource(
            strings = ["hosts", "targets", "audit", "estate show", "release-note history", "release-note show 1"],
        )
        fun `a malformed response is reported`(command: String) {
            listOf("", "{", "<html>", "[{\"name\":1}]", "\u0000\uFFFF").forEach { body ->
                val result = runAgainstHost(200, body, *command.split(' ').toTypedArray())
                expectThat(result.statusCode).isEqualTo(ExitCode.MALFORMED_RESPONSE)
                expectThat(result.stderr).contains("--address")
            }
        }

        @Test
        fun `an unknown token and a missing role are reported differently`() {
            expectThat(runAgainstHost(401, "", "hosts").stderr).contains("does not recognize the token")
            expectThat(runAgainstHost(403, "", "drain").stderr).contains("role operator")
            expectThat(runAgainstHost(403, "", "drain").statusCode).isEqualTo(ExitCode.NOT_PERMITTED)
        }

        @Test
        fun `an address with no listener is reported`() {
            val port = ServerSocket(0).use { it.localPort }
            val result = run("--address", "http://127.0.0.1:$port", "hosts")
            expectThat(result.statusCode).isEqualTo(ExitCode.UNAVAILABLE)
            expectThat(result.stderr).contains("Try another host with --address")
        }

        @Test
        fun `an invalid URL as the address is reported`() {
            expectThat(run("--address", "a b", "hosts").statusCode).isEqualTo(ExitCode.UNAVAILABLE)
        }
    }

    @Nested
    inner class `given files on the command line` {
        @TempDir
        lateinit var directory: Path

        @Test
        fun `a rejected note fails with its findings`() {
            val note = directory.resolve("note.json")
            note.writeText("""{"id":"a","author":"b","base":0,}""")
            val verdict = """{"accepted":false,"findings":["the note changes nothing"]}"""
            val result = runAgainstHost(409, verdict, "release-note", "submit", note.toString())
            expectThat(result.statusCode).isEqualTo(ExitCode.REFUSED)
            expectThat(result.stderr).contains("the note changes nothing")
        }

        @Test
        fun `a file that is not a note is rejected before a request is sent`() {
            val note = directory.resolve("note.json")
            note.writeText("""{"id":"a","added":[{"type":"target","address":{"host":"","port":0}}]}""")
            expectThat(run("release-note", "check", note.toString()).statusCode).isEqualTo(ExitCode.REFUSED)
        }

        @Test
        fun `invalid settings exit with 78 and list each error`() {
            val settings = directory.resolve("settings.json")
            settings.writeText("{}")
            val result = run("settings", "check", settings.toString())
            expectThat(result.statusCode).isEqualTo(ExitCode.INVALID_SETTINGS)
            expectThat(result.stderr.trim().lines().size).isEqualTo(4)
        }
    }

    @Nested
    inner class `given a shell` {
        @Test
        fun `help lists the exit codes`() {
            expectThat(run("--help").output).contains("78 settings")
        }

        @ParameterizedTest
        @ValueSource(strings = ["bash", "zsh", "fish"])
        fun `the completion script is printed`(shell: String) {
            expectThat(run("--generate-completion", shell).output).isNotEmpty()
        }
    }

    private companion object {
        const val HOSTS = """[{"name":"salish-south-a-host-1","region":"salish-south","zone":"salish-south-a",""" +
            """"callerAddress":"a:1","peerAddress":"a:2","state":"alive","revision":1,"silentMilliseconds":0}]"""
    }
}
