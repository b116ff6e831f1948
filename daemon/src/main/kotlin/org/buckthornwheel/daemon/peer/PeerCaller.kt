package org.buckthornwheel.daemon.peer

import arrow.core.Either
import arrow.core.left
import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.daemon.membership.AddressBook
import org.buckthornwheel.protocol.peer.PeerCodec
import org.buckthornwheel.protocol.peer.PeerRequest
import org.buckthornwheel.protocol.peer.PeerResponse
import kotlin.time.Duration

/** Path on the peer listener for calls between hosts. */
internal const val PEER_CALL_PATH: String = "/peer/v1/call"

/** Why a call to another host gave no response; the other host may have acted on it all the same. */
internal data class PeerCallFailure(val peer: NetworkAddress, val detail: String)

/** Calls other hosts: one signed request, one signed response. */
internal class PeerCaller(
    private val client: HttpClient,
    private val codec: PeerCodec,
    private val addresses: AddressBook,
    private val timeout: Duration,
) {
    suspend fun call(peer: NetworkAddress, request: PeerRequest): Either<PeerCallFailure, PeerResponse> = try {
        val bytes = withTimeout(timeout) {
            client.post("http://${addresses.reachableAddress(peer)}$PEER_CALL_PATH") {
                setBody(codec.encode(request))
            }.bodyAsBytes()
        }
        codec.decode<PeerResponse>(bytes).mapLeft { PeerCallFailure(peer, "rejected for its ${it.name.lowercase()}") }
    } catch (_: TimeoutCancellationException) {
        PeerCallFailure(peer, "no response in time").left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        PeerCallFailure(peer, failure.toString()).left()
    }
}
