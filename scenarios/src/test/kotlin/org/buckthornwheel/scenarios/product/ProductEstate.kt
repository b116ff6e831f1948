package org.buckthornwheel.scenarios.product

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.statement.HttpResponse
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.network.tls.certificates.buildKeyStore
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.settings.AdministrationRole
import org.buckthornwheel.settings.AdministrationSettings
import org.buckthornwheel.settings.AdministrationToken
import org.buckthornwheel.settings.HostSettings
import org.buckthornwheel.settings.KeyStoreFile
import org.buckthornwheel.settings.LimitSettings
import org.buckthornwheel.settings.TlsSettings
import org.buckthornwheel.testing.CommandLine
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import java.nio.file.Path
import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat
import kotlin.io.path.outputStream
import kotlin.io.path.writeText

/** One zone with a plain HTTP host and a TLS host, both with administration tokens. */
class ProductEstate : AutoCloseable {
    val estate = LocalEstate.of(estateLayout { zone("salish-south-a", "salish-south", hosts = 2, services = 1) })
    val plain: LocalHost = estate.hosts.first()
    val encrypted: LocalHost = estate.hosts.last()
    val callerToken = estate.layout.accounts.first().token
    val commandLine = CommandLine(estate.directory)
    val certificate: Path = estate.directory.resolve("authority.pem")
    private val keyStore = estate.directory.resolve("host.p12")
    private val password = estate.directory.resolve("host.password")
    private val client = HttpClient(CIO) { engine { requestTimeout = 60_000 } }

    fun start() {
        writeKeyStore()
        estate.changeSettings = ::addTokensAndTls
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        runBlocking {
            awaitUntil("the note is accepted") { submitFirstNote().exitCode == 0 }
            awaitUntil("the plain host is ready") { ask("/readyz").status.value == 200 }
        }
    }

    fun submitFirstNote() =
        runCommand(OPERATOR, "release-note", "submit", estate.writeNote(estate.firstNote()).toString())

    /** Runs the command line against the plain host with [token]. */
    fun runCommand(token: String, vararg arguments: String) =
        commandLine.run("--address", "http://${plain.administration}", "--token", token, *arguments)

    /** Sends a request to the plain host's administration API. */
    suspend fun ask(
        path: String,
        token: String? = null,
        method: HttpMethod = HttpMethod.Get,
        block: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse = client.request("http://${plain.administration}$path") {
        this.method = method
        token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        block()
    }

    /** Sends a request to the plain host with a caller's token by default. */
    suspend fun call(
        path: String = "/v1/chat/completions",
        method: HttpMethod = HttpMethod.Post,
        token: String? = callerToken,
        block: HttpRequestBuilder.() -> Unit = {},
    ): HttpResponse = client.request("http://${plain.callers}$path") {
        this.method = method
        token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        block()
    }

    override fun close() {
        client.close()
        estate.close()
    }

    private fun addTokensAndTls(host: LocalHost, settings: HostSettings): HostSettings {
        val files = KeyStoreFile(keyStore.toString(), password.toString())
        return settings.copy(
            administration = AdministrationSettings(
                listOf(
                    AdministrationToken("night-shift", AdministrationRole.OPERATOR, sha256(OPERATOR)),
                    AdministrationToken("dashboard", AdministrationRole.READER, sha256(READER)),
                ),
            ),
            limits = LimitSettings(requestBodyBytes = BODY_BYTES),
            timeouts = settings.timeouts.copy(requestBodyMilliseconds = 500),
            tls = if (host == encrypted) TlsSettings(files, files) else TlsSettings(),
        )
    }

    private fun writeKeyStore() {
        val store = buildKeyStore {
            certificate("host") {
                password = PASSWORD
                domains = listOf("127.0.0.1", "localhost")
            }
        }
        keyStore.outputStream().use { store.store(it, PASSWORD.toCharArray()) }
        password.writeText(PASSWORD + "\n")
        val encoded = Base64.getMimeEncoder().encodeToString(store.getCertificate("host").encoded)
        certificate.writeText("-----BEGIN CERTIFICATE-----\n$encoded\n-----END CERTIFICATE-----\n")
    }

    private fun sha256(text: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

    companion object {
        const val OPERATOR = "operator-token"
        const val READER = "reader-token"
        const val BODY_BYTES = 4_096
        private const val PASSWORD = "key store password"
    }
}
