/*
 * Creates the HTTP client of the command line, with the certificate authorities chosen by the operator.
 */

package org.buckthornwheel.commandline

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import java.nio.file.Path
import java.security.KeyStore
import java.security.cert.CertificateFactory
import javax.net.ssl.TrustManager
import javax.net.ssl.TrustManagerFactory
import javax.net.ssl.X509TrustManager
import kotlin.io.path.inputStream

/** Creates a client that trusts only the authorities in the PEM file [authorityCertificate]; null: the system's. */
internal fun createHttpClient(authorityCertificate: Path?): HttpClient {
    val customTrustManager = authorityCertificate?.let(::createTrustManager)
    return HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            customTrustManager?.let { manager -> https { trustManager = manager } }
        }
    }
}

private fun createTrustManager(certificateFile: Path): TrustManager {
    val store = KeyStore.getInstance(KeyStore.getDefaultType())
    store.load(null, null)
    val authorities = certificateFile.inputStream().use {
        CertificateFactory.getInstance("X.509").generateCertificates(it)
    }
    authorities.forEachIndexed { index, certificate -> store.setCertificateEntry("authority-$index", certificate) }
    val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm())
    factory.init(store)
    return factory.trustManagers.first { it is X509TrustManager }
}
