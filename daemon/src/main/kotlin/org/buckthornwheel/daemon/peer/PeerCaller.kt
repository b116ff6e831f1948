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

/** Path of calls between hosts on the peer listener. */
internal const val PEER_CALL_PATH: String = "/peer/v1/call"

/** A call to another host that got no valid response; the other host may nevertheless have executed it. */
internal data class PeerCallFailure(val peer: NetworkAddress, val detail: String)

/** Client for calls to other hosts, with one signed request and one signed response each. */
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
        codec.decode<PeerResponse>(bytes).mapLeft {
            PeerCallFailure(peer, "the response was rejected because of its ${it.name.lowercase()}")
        }
    } catch (_: TimeoutCancellationException) {
        PeerCallFailure(peer, "no response in time").left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        PeerCallFailure(peer, failure.toString()).left()
    }
}
