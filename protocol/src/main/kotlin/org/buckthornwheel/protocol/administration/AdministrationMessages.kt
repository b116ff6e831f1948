/*
 * The JSON bodies of the administration API.
 */

package org.buckthornwheel.protocol.administration

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.EstateItem

/** The estate that is currently applied on the responding host. */
@Serializable
public data class EstateView(public val revision: Revision, public val items: List<EstateItem>)

/** The state of one host as known to the responding host; its last heartbeat was [silentMilliseconds] ago. */
@Serializable
public data class HostView(
    public val name: String,
    public val region: String,
    public val zone: String,
    public val callerAddress: String,
    public val peerAddress: String,
    public val state: String,
    public val revision: Long,
    public val silentMilliseconds: Long,
)

/** The state of one target as known to the responding host; [running] and [waiting] are null until it reports them. */
@Serializable
public data class TargetView(
    public val name: String,
    public val zone: String,
    public val running: Int?,
    public val waiting: Int?,
    public val ownInFlight: Int,
    public val ejected: Boolean,
    public val leaving: Boolean,
)

/** Response to a submitted or checked release note: the [revision] assigned to it, or the errors found in it. */
@Serializable
public data class NoteVerdict(
    public val accepted: Boolean,
    public val revision: Revision? = null,
    public val findings: List<String> = emptyList(),
)

/** Error response of the administration API, of type `application/problem+json` (RFC 9457). */
@Serializable
public data class AdministrationProblem(
    public val type: String,
    public val title: String,
    public val status: Int,
    public val detail: String,
)
