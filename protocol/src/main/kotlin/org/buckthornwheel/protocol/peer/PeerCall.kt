/*
 * Calls from one host to another: a request and its response, each sent as signed CBOR in an HTTP body.
 */

package org.buckthornwheel.protocol.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.AcceptedNote

/** Request of one host to another. */
@Serializable
public sealed interface PeerRequest

/** Response to a [PeerRequest]. */
@Serializable
public sealed interface PeerResponse

/** Requests the accepted release notes after revision [after], oldest first. */
@Serializable
public data class FetchNotes(public val after: Revision) : PeerRequest

/** The requested notes without gaps; later notes that do not fit into one message are left out. */
@Serializable
public data class FetchedNotes(public val notes: List<AcceptedNote>) : PeerResponse

/** The recipient does not support this kind of request. */
@Serializable
@SerialName("org.buckthornwheel.protocol.peer.NotUnderstood")
public data class UnsupportedRequest(public val detail: String) : PeerResponse
