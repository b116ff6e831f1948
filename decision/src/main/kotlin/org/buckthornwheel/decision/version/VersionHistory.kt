package org.buckthornwheel.decision.version

/**
 * The shares of the software versions of a service over the last seconds, which all hosts agree on.
 *
 * @property number orders the histories of a service; the highest one is in force.
 * @property shares the shares in force, last, and those before them by which streams may have begun that callers still
 *   take up.
 */
public data class VersionHistory(public val number: Long, public val shares: List<VersionShares>) {
    /** The shares by which new streams begin. */
    public val inForce: VersionShares get() = shares.lastOrNull() ?: VersionShares.NONE

    /** The next history, by which new streams begin with [next]. */
    public fun with(next: VersionShares): VersionHistory = VersionHistory(number + 1, shares - next + next)

    /** The next history, without the earlier shares for which [isOver] holds. */
    public fun without(isOver: (VersionShares) -> Boolean): VersionHistory =
        VersionHistory(number + 1, shares.dropLast(1).filterNot(isOver) + shares.takeLast(1))
}
