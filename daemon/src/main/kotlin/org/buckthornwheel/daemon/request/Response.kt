package org.buckthornwheel.daemon.request

import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.flow.Flow
import org.buckthornwheel.api.GatewayFailure

/** Who answered: the target and how often the request was forwarded on its way there. */
internal data class ResponseOrigin(val target: String, val hops: Int)

/** A whole answer, read to its end before a byte of it goes to the caller. */
internal class BufferedResponse(
    val origin: ResponseOrigin,
    val status: HttpStatusCode,
    val contentType: String?,
    val body: ByteArray,
)

/** One step of a streamed answer. */
internal sealed interface StreamStep {
    /** One event's data, passed on as it came. */
    data class Event(val data: String) : StreamStep

    /** The answer is whole; nothing follows. */
    data object Completed : StreamStep

    /** The stream broke; nothing follows. */
    data class Broken(val failure: GatewayFailure) : StreamStep
}

/** Where an answer is written to: the caller's connection, or that of the host that forwarded the request. */
internal interface Responder {
    /** Writes a whole answer. */
    suspend fun respond(response: BufferedResponse)

    /** Writes a streamed answer; returns when [steps] has ended. */
    suspend fun stream(origin: ResponseOrigin, steps: Flow<StreamStep>)

    /** Writes a failure; only before anything else was written. */
    suspend fun fail(failure: GatewayFailure)
}
