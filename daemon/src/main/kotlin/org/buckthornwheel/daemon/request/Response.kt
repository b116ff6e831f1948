package org.buckthornwheel.daemon.request

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.flow.Flow
import org.buckthornwheel.api.GatewayFailure

/** The target that produced a response, and how often the request was forwarded on its way there. */
internal data class ResponseOrigin(val target: String, val hops: Int)

/** A response that is read completely before its first byte is sent to the caller. */
internal class BufferedResponse(
    val origin: ResponseOrigin,
    val status: HttpStatusCode,
    val contentType: String?,
    val body: ByteArray,
)

/** One step of a streamed response. */
internal sealed interface StreamStep {
    /** The data of one event, relayed unchanged. */
    data class Event(val data: String) : StreamStep

    /** The response is complete; no step follows. */
    data object Completed : StreamStep

    /** The stream failed; no step follows. */
    data class Broken(val failure: GatewayFailure) : StreamStep
}

/** Writes the response to the caller, or to the host that forwarded the request. */
internal interface Responder {
    /** Writes a complete response. */
    suspend fun respond(response: BufferedResponse)

    /** Writes a streamed response; returns when [steps] has ended. */
    suspend fun stream(origin: ResponseOrigin, steps: Flow<StreamStep>)

    /** Writes a failure; may only be called before anything else was written. */
    suspend fun fail(failure: GatewayFailure)
}
