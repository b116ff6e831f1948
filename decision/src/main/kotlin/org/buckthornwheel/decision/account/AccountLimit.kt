package org.buckthornwheel.decision.account

/** What a limit counts. */
public enum class LimitUnit { REQUESTS, TOKENS }

/**
 * The limit of an account over all hosts together.
 *
 * @property ratePerSecond units that it may use in a second.
 * @property burst units that it may use at once after a pause.
 * @property plainTokens tokens for which a request without token counts counts.
 */
public data class AccountLimit(
    public val unit: LimitUnit,
    public val ratePerSecond: Double,
    public val burst: Double,
    public val plainTokens: Int,
) {
    /** Units of a request with [tokens] prompt and output tokens; null if it has no token counts. */
    public fun cost(tokens: Long?): Double = when (unit) {
        LimitUnit.REQUESTS -> 1.0
        LimitUnit.TOKENS -> (tokens ?: plainTokens.toLong()).toDouble()
    }
}
