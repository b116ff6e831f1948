package org.buckthornwheel.scenarios.product

import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.buckthornwheel.protocol.administration.AuditResult
import org.buckthornwheel.protocol.administration.AuditView
import org.buckthornwheel.protocol.administration.AuditedAction
import org.buckthornwheel.protocol.caller.CallerHeaders
import org.buckthornwheel.protocol.caller.Problem
import org.buckthornwheel.testing.awaitUntil
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull
import strikt.assertions.startsWith
import java.net.Socket
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ProductTest {
    private val product = ProductEstate()

    @BeforeAll
    fun startProcesses() = product.start()

    @AfterAll
    fun endProcesses() = product.close()

    @Nested
    inner class `given an administration API with tokens` {
        @Test
        fun `an unknown token, a missing role and a permitted role get different statuses`(): Unit = runBlocking {
            val drain = "/administration/v1/drain"
            expectThat(product.ask("/administration/v1/estate").status.value).isEqualTo(401)
            expectThat(product.ask("/administration/v1/estate", "guess").status.value).isEqualTo(401)
            expectThat(product.ask("/administration/v1/estate", ProductEstate.READER).status.value).isEqualTo(200)
            expectThat(product.ask(drain, ProductEstate.READER, HttpMethod.Post).status.value).isEqualTo(403)
        }

        @Test
        fun `invalid notes and unknown paths get error responses`(): Unit = runBlocking {
            val notes = "/administration/v1/notes"
            val broken = product.ask(notes, ProductEstate.OPERATOR, HttpMethod.Post) { setBody("{\"id\":") }
            expectThat(broken.status.value).isEqualTo(400)
            val large = product.ask(notes, ProductEstate.OPERATOR, HttpMethod.Post) { setBody(" ".repeat(1_048_577)) }
            expectThat(large.status.value).isEqualTo(413)
            val absent = product.ask("$notes/none", ProductEstate.READER)
            expectThat(absent.status.value).isEqualTo(404)
            expectThat(absent.bodyAsText()).contains("no accepted note")
            expectThat(product.ask("/nowhere").bodyAsText()).contains("docs/API.md")
        }
    }

    @Nested
    inner class `given the operations page` {
        @Test
        fun `each metric named on it is exported`(): Unit = runBlocking {
            val named = Regex("`(buckthornwheel[.][a-z.]+)").findAll(Path("../docs/OPERATIONS.md").readText())
                .map { it.groupValues[1].replace('.', '_') }
                .toSet()
            expectThat(product.call { setBody("{}") }.status.value).isEqualTo(400)
            val metrics = product.ask("/metrics").bodyAsText()
            expectThat(named).isNotEmpty()
            expectThat(named.filterNot { "\n$it" in metrics }).isEmpty()
        }
    }

    @Nested
    inner class `given the command line` {
        @Test
        fun `the estate is shown and a note is found by its id`() {
            listOf("estate show", "release-note show first").forEach {
                val run = product.runCommand(ProductEstate.READER, *it.split(' ').toTypedArray())
                expectThat(run).get { exitCode }.isEqualTo(0)
            }
        }

        @Test
        fun `TLS succeeds with the given certificate authority and fails without it`() {
            val address = listOf("--address", "https://${product.encrypted.administration}")
            val token = listOf("--token", ProductEstate.READER, "hosts")
            val trusting = address + listOf("--authority-certificate", product.certificate.toString()) + token
            expectThat(product.commandLine.run(*trusting.toTypedArray()).exitCode).isEqualTo(0)
            expectThat(product.commandLine.run(*(address + token).toTypedArray()).exitCode).isEqualTo(3)
        }

        @Test
        fun `a streamed call over TLS gets the complete response`(): Unit = runBlocking {
            val run = product.commandLine.run(
                "--authority-certificate", product.certificate.toString(), "call",
                "--host", "https://${product.encrypted.callers}", "--account-token", product.callerToken,
                "--model", "drafting", "--prompt", "mooring", "--max-tokens", "5", "--stream",
            )
            expectThat(run.exitCode).isEqualTo(0)
            expectThat(run.output).contains("mooring:4").contains("[DONE]")
        }
    }

    @Nested
    inner class `given administrative actions of several kinds` {
        @Test
        fun `the audit trail records the actor, the action and the result`(): Unit = runBlocking {
            val note = product.estate.directory.resolve("clash.json")
            val text = Json.encodeToString(product.estate.firstNote()).replace("\"first\"", "\"clash\"")
            note.writeText(text)
            expectThat(product.runCommand(ProductEstate.OPERATOR, "release-note", "submit", "$note").exitCode)
                .isEqualTo(2)
            product.ask("/administration/v1/drain", ProductEstate.READER, HttpMethod.Post)
            awaitUntil("the audit entries are stored") { audit().entries.size >= 3 }
            val entries = audit().entries
            fun result(who: String, action: AuditedAction, subject: String) =
                entries.first { it.who == who && it.action == action && it.subject == subject }.result
            expectThat(result("operator", AuditedAction.SUBMIT_NOTE, "first")).isEqualTo(AuditResult.ACCEPTED)
            expectThat(result("night-shift", AuditedAction.SUBMIT_NOTE, "clash")).isEqualTo(AuditResult.REJECTED)
            expectThat(result("dashboard", AuditedAction.DRAIN, product.plain.name)).isEqualTo(AuditResult.FORBIDDEN)
            expectThat(product.runCommand(ProductEstate.READER, "audit").output).contains("night-shift")
        }

        private suspend fun audit(): AuditView =
            Json.decodeFromString(product.ask("/administration/v1/audit", ProductEstate.READER).bodyAsText())
    }

    @Nested
    inner class `given invalid input from a caller` {
        private val validBody = """{"model":"drafting","max_tokens":2,"messages":[{"role":"user","content":"a"}]}"""

        private fun expectProblem(status: Int, cause: String, response: io.ktor.client.statement.HttpResponse) =
            runBlocking {
                val problem = Json.decodeFromString<Problem>(response.bodyAsText())
                expectThat(response.status.value).isEqualTo(status)
                expectThat(problem.title).isEqualTo(cause)
                expectThat(problem.outcome).isEqualTo("not-run")
                expectThat(response.headers["Content-Type"]).isNotNull().startsWith("application/problem+json")
            }

        @Test
        fun `each error names its cause`(): Unit = runBlocking {
            expectProblem(401, "unauthenticated", product.call(token = null) { setBody(validBody) })
            expectProblem(401, "unauthenticated", product.call(token = "foreign") { setBody(validBody) })
            expectProblem(400, "invalid-request", product.call { setBody("{\"model\":") })
            expectProblem(400, "invalid-request", product.call { setBody("[]") })
            expectProblem(404, "not-found", product.call { setBody(validBody.replace("drafting", "unheard-of")) })
            expectProblem(404, "not-found", product.call("/v1/elsewhere") { setBody(validBody) })
            expectProblem(405, "method-not-allowed", product.call(method = HttpMethod.Get))
            expectProblem(404, "not-found", product.call("/v1/services/none/read", HttpMethod.Get))
            expectProblem(413, "too-large", product.call { setBody(" ".repeat(ProductEstate.BODY_BYTES + 1)) })
        }

        @Test
        fun `invalid headers are rejected`(): Unit = runBlocking {
            listOf("0", "-1", "soon", "99999999999999999999").forEach { text ->
                val response = product.call { header(CallerHeaders.DEADLINE, text) }
                expectProblem(400, "invalid-request", response)
            }
            listOf("", "a b", "k".repeat(201)).forEach { key ->
                val response = product.call("/v1/services/findings/condemn") {
                    header(CallerHeaders.IDEMPOTENCY_KEY, key)
                    setBody("{}")
                }
                expectProblem(400, "invalid-request", response)
            }
        }

        @Test
        fun `a slow sender is timed out while other callers are served`(): Unit = runBlocking {
            Socket(product.plain.callers.host, product.plain.callers.port).use { slow ->
                val lines = listOf(
                    "POST /v1/completions HTTP/1.1",
                    "Host: a",
                    "Authorization: Bearer ${product.callerToken}",
                    "Content-Length: 100",
                    "",
                    "{",
                )
                slow.getOutputStream().write(lines.joinToString("\r\n").encodeToByteArray())
                expectThat(product.call { setBody(validBody) }.status.value).isEqualTo(200)
                slow.soTimeout = 30_000
                val statusLine = slow.getInputStream().bufferedReader().readLine()
                expectThat(statusLine).contains("400")
            }
        }

        @Test
        fun `the log contains the request id but neither the prompt nor a token`(): Unit = runBlocking {
            val body = validBody.replace("\"a\"", "\"secret-prompt\"").replace("drafting", "no")
            val response = product.call { setBody(body) }
            val id = requireNotNull(response.headers[CallerHeaders.REQUEST_ID])
            val log = product.estate.process(product.plain.name).output
            awaitUntil("the request is logged") { "request: Request $id ended as not-run" in log.readText() }
            val secrets = listOf("secret-prompt", product.callerToken, ProductEstate.OPERATOR)
            expectThat(secrets.filter { it in log.readText() }).isEmpty()
        }
    }
}
