package org.buckthornwheel.testing

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.protocol.administration.EstateView
import org.buckthornwheel.protocol.administration.HostView
import org.buckthornwheel.protocol.administration.NoteVerdict

/** A client of the administration API of hosts. */
public class Operator : AutoCloseable {
    private val client = HttpClient(CIO) { engine { requestTimeout = 0 } }

    /** Returns the revision of the estate in force on [host]. */
    public suspend fun revision(host: LocalHost): Revision = estate(host).revision

    /** Returns the estate in force on [host]. */
    public suspend fun estate(host: LocalHost): EstateView =
        Json.decodeFromString(get(host, "/administration/v1/estate"))

    /** Returns the hosts known to [host]. */
    public suspend fun hosts(host: LocalHost): List<HostView> =
        Json.decodeFromString(get(host, "/administration/v1/hosts"))

    /** Submits [note] to [host] and returns the verdict. */
    public suspend fun submit(host: LocalHost, note: ReleaseNote): NoteVerdict {
        val response = client.post("http://${host.administration}/administration/v1/notes") {
            setBody(Json.encodeToString(note))
        }
        return Json.decodeFromString(response.bodyAsText())
    }

    /** Whether the readiness endpoint of [host] reports that it is ready for callers. */
    public suspend fun isReady(host: LocalHost): Boolean =
        client.get("http://${host.administration}/readyz").status.isSuccess()

    /** Returns the body of the response to a GET of [path] on the administration address of [host]. */
    public suspend fun get(host: LocalHost, path: String): String =
        client.get("http://${host.administration}$path").bodyAsText()

    override fun close(): Unit = client.close()
}
