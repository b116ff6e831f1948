package org.buckthornwheel.decision.manifest

import org.buckthornwheel.decision.account.ClientAccount

/**
 * Orders requests first by the priority of their account, then by that of their route.
 *
 * The account's priority takes precedence, but does not replace the route's: among accounts of equal priority, which
 * may be all, the more urgent kind of request still comes first. If all accounts have the same priority, the result is
 * the route's priority. An account without a priority comes after those with one.
 */
public class AccountPriorities(accounts: List<ClientAccount>, routes: List<Route>) {
    private val accountLevels: Map<Int?, Int> =
        accounts.map { it.priority }.distinct().sortedWith(nullsLast(naturalOrder())).withIndex()
            .associate { it.value to it.index }
    private val routeLevels: Map<Int, Int> =
        routes.map { it.priority }.distinct().sorted().withIndex().associate { it.value to it.index }

    /** The priority of a request of [account] on [route]; 0 is the most urgent. */
    public fun of(account: ClientAccount, route: Route): Int {
        if (accountLevels.size <= 1) return route.priority
        val accountLevel = accountLevels[account.priority] ?: accountLevels.size
        return accountLevel * routeLevels.size + (routeLevels[route.priority] ?: 0)
    }
}
