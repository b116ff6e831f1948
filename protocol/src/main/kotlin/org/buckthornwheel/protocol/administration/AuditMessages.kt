/*
 * Audit trail entries, as returned by the administration API and as stored in the platform's key-value service.
 */

package org.buckthornwheel.protocol.administration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kinds of operator actions that are audited, whether they succeeded or not. */
@Serializable
public enum class AuditedAction {
    /** A release note was submitted. */
    @SerialName("submit-note")
    SUBMIT_NOTE,

    /** A host was told to drain and stop. */
    @SerialName("drain")
    DRAIN,
}

/** The result of an audited action. */
@Serializable
public enum class AuditResult {
    /** The action was carried out. */
    @SerialName("accepted")
    ACCEPTED,

    /** The action was not carried out because the request was invalid or conflicted with the estate. */
    @SerialName("rejected")
    REJECTED,

    /** The action was not carried out because the token's role does not permit it. */
    @SerialName("forbidden")
    FORBIDDEN,

    /** It is unknown whether the action was carried out, because the platform did not respond. */
    @SerialName("unknown")
    UNKNOWN,
}

/**
 * One entry of the audit trail.
 *
 * @property atMilliseconds wall-clock time on the host that performed the action, in milliseconds since the epoch.
 * @property host the host that performed the action.
 * @property who the name of the bearer token, or the author named in an accepted note.
 * @property subject the id of the note, or the name of the drained host.
 * @property detail the revision that was created, or the reason for the rejection.
 */
@Serializable
public data class AuditEntry(
    public val atMilliseconds: Long,
    public val host: String,
    public val who: String,
    public val action: AuditedAction,
    public val subject: String,
    public val result: AuditResult,
    public val detail: String,
)

/**
 * Response to an audit trail query: entries in order, oldest first.
 *
 * @property missing the reason why entries may be missing; null if the whole trail was read.
 */
@Serializable
public data class AuditView(public val entries: List<AuditEntry>, public val missing: String? = null)
