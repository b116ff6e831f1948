package org.buckthornwheel.decision.ledger

import kotlinx.serialization.Serializable
import org.buckthornwheel.api.AccountName

/** Identifies one non-idempotent action by the account and the caller's `Idempotency-Key`. */
@Serializable
public data class ActionKey(public val account: AccountName, public val key: String) {
    override fun toString(): String = "$account/$key"
}
