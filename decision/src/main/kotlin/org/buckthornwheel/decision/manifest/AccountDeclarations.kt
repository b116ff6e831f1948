/*
 * Checks of the client accounts of a manifest against each other and against its routes.
 */

package org.buckthornwheel.decision.manifest

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.account.AccountKey
import org.buckthornwheel.decision.account.ClientAccount

/** A fault of declared accounts; the manifest as a whole stays in force. */
public sealed interface AccountFault {
    /** What was found, without any key. */
    public val description: String

    /** Two entries have the same name; the later one is left out. */
    public data class DeclaredTwice(public val account: AccountName) : AccountFault {
        override val description: String get() = "account $account: declared twice"
    }

    /** Several accounts declare the same key; it is valid for none of them. */
    public data class SharedKey(public val accounts: List<AccountName>) : AccountFault {
        override val description: String get() = "accounts ${accounts.joinToString(" and ")}: the same key"
    }

    /** No region may serve the requests of [account] on [route]; they are rejected. */
    public data class NoCommonHome(public val account: AccountName, public val route: String) : AccountFault {
        override val description: String get() = "account $account and route $route: no common home region"
    }
}

/** The accounts that are usable, and the faults that were found. */
public data class CheckedAccounts(public val accounts: List<ClientAccount>, public val faults: List<AccountFault>)

/** Checks declared accounts. */
public object AccountDeclarations {
    /** Limit on the faults of one kind that are named, since pairs of accounts and routes can be very many. */
    public const val MAXIMUM_FAULTS: Int = 32

    /**
     * Removes repeated accounts, and keys that belong to several accounts, from [declared].
     *
     * A caller with such a key cannot be told apart from callers of another account, whose requests may have to stay in
     * other regions. So the key is valid for no account, even if one of the entries is left out.
     */
    public fun check(declared: List<ClientAccount>, routes: List<Route>): CheckedAccounts {
        val owners = HashMap<AccountKey, Set<AccountName>>()
        for (account in declared) {
            account.keys.forEach { owners.merge(it, setOf(account.name)) { one, other -> one + other } }
        }
        val shared = owners.filterValues { it.size > 1 }
        val accounts = declared.distinctBy { it.name }.map { it.copy(keys = it.keys - shared.keys) }
        return CheckedAccounts(accounts, repeated(declared) + sharedKeys(shared) + withoutHome(accounts, routes))
    }

    /** The regions that may serve requests of [account] on [route]: null if none may, empty if all may. */
    public fun commonHomes(account: Set<RegionName>, route: Set<RegionName>): Set<RegionName>? = when {
        account.isEmpty() -> route
        route.isEmpty() -> account
        else -> (account intersect route).ifEmpty { null }
    }

    private fun repeated(declared: List<ClientAccount>): List<AccountFault> = declared.groupingBy { it.name }
        .eachCount().filterValues { it > 1 }.keys.take(MAXIMUM_FAULTS).map(AccountFault::DeclaredTwice)

    private fun sharedKeys(shared: Map<AccountKey, Set<AccountName>>): List<AccountFault> =
        shared.values.distinct().take(MAXIMUM_FAULTS).map { AccountFault.SharedKey(it.toList()) }

    private fun withoutHome(accounts: List<ClientAccount>, routes: List<Route>): List<AccountFault> {
        val routesByHomes = routes.filterNot { it.isPublic }.groupBy { it.homeRegions }
        return accounts.asSequence().flatMap { account ->
            routesByHomes.asSequence()
                .filter { (homes) -> commonHomes(account.homeRegions, homes) == null }
                .flatMap { (_, list) -> list.map { AccountFault.NoCommonHome(account.name, it.name) } }
        }.take(MAXIMUM_FAULTS).toList()
    }
}
