package org.buckthornwheel.decision.manifest

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.decision.account.AccountKey
import org.buckthornwheel.decision.account.ClientAccount
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.map
import kotlin.time.Duration.Companion.seconds

internal class AccountDeclarationsTest {
    private fun account(name: String, keys: Set<String>, homes: Set<String> = emptySet(), priority: Int? = null) =
        ClientAccount(AccountName(name), keys.map(::AccountKey).toSet(), regions(homes), priority, limit = null)

    private fun regions(names: Set<String>) = names.map(::RegionName).toSet()

    private fun route(name: String, homes: Set<String> = emptySet(), priority: Int = 0, isPublic: Boolean = false) =
        Route(
            name,
            "gateway.example",
            "/$name/",
            RouteKind.IDEMPOTENT,
            timeout = 4.seconds,
            targetLatency = 1.seconds,
            priority = priority,
            split = listOf(WeightedService(ServiceName("s"), 1.0)),
            maximumAttempts = 1,
            isResumable = false,
            homeRegions = regions(homes),
            isPublic = isPublic,
        )

    @Test
    fun `the first of two accounts with one name is kept with its own keys`() {
        val checked = AccountDeclarations.check(listOf(account("a", setOf("1")), account("a", setOf("2"))), emptyList())
        expectThat(checked.accounts).containsExactly(account("a", setOf("1")))
        expectThat(checked.faults).containsExactly(AccountFault.DeclaredTwice(AccountName("a")))
    }

    @Test
    fun `a key of two accounts is valid for neither, also if one of them is declared twice`() {
        val declared = listOf(
            account("a", setOf("1")),
            account("a", setOf("shared")),
            account("b", setOf("2", "shared")),
        )
        val checked = AccountDeclarations.check(declared, emptyList())
        expectThat(checked.accounts).containsExactly(account("a", setOf("1")), account("b", setOf("2")))
        expectThat(checked.faults).map { it.description }
            .containsExactly("account a: declared twice", "accounts a and b: the same key")
    }

    @Test
    fun `an account and a route without a common home region are named, public routes are not`() {
        val accounts = listOf(account("a", setOf("1"), setOf("north")), account("b", setOf("2")))
        val routes = listOf(
            route("south", setOf("south")),
            route("both", setOf("north", "south")),
            route("all"),
            route("open", setOf("south"), isPublic = true),
        )
        val checked = AccountDeclarations.check(accounts, routes)
        expectThat(checked.accounts).isEqualTo(accounts)
        expectThat(checked.faults).containsExactly(AccountFault.NoCommonHome(AccountName("a"), "south"))
    }

    @Test
    fun `the number of named faults is bounded`() {
        val accounts = (1..2_000).map { account("a$it", setOf("$it"), setOf("north")) }
        val routes = (1..100).map { route("r$it", setOf("south")) }
        expectThat(AccountDeclarations.check(accounts, routes).faults).hasSize(AccountDeclarations.MAXIMUM_FAULTS)
    }

    @Test
    fun `the narrower homes of account and route bind`() {
        val both = regions(setOf("north", "south"))
        val north = regions(setOf("north"))
        expectThat(AccountDeclarations.commonHomes(north, both)).isEqualTo(north)
        expectThat(AccountDeclarations.commonHomes(emptySet(), north)).isEqualTo(north)
        expectThat(AccountDeclarations.commonHomes(north, emptySet())).isEqualTo(north)
        expectThat(AccountDeclarations.commonHomes(emptySet(), emptySet())).isEqualTo(emptySet())
        expectThat(AccountDeclarations.commonHomes(north, regions(setOf("south")))).isNull()
    }

    @Nested
    inner class `given priorities of accounts` {
        private val urgent = route("urgent", priority = 0)
        private val usual = route("usual", priority = 2)

        private fun priorities(vararg accounts: ClientAccount) =
            AccountPriorities(accounts.toList(), listOf(urgent, usual))

        /** Guards against accounts of one priority that hide which kind of request is more urgent. */
        @Test
        fun `accounts of equal priority leave the priorities of the routes as they are`() {
            val accounts = listOf(account("a", setOf("1"), priority = 1), account("b", setOf("2"), priority = 1))
            val priorities = priorities(*accounts.toTypedArray())
            expectThat(accounts.map { priorities.of(it, urgent) to priorities.of(it, usual) })
                .containsExactly(0 to 2, 0 to 2)
        }

        @Test
        fun `a request of a more urgent account precedes every request of a less urgent one`() {
            val first = account("a", setOf("1"), priority = 0)
            val second = account("b", setOf("2"), priority = 3)
            val last = account("c", setOf("3"))
            val priorities = priorities(last, second, first)
            val order = listOf(first, second, last).flatMap {
                listOf(priorities.of(it, urgent), priorities.of(it, usual))
            }
            expectThat(order).containsExactly(0, 1, 2, 3, 4, 5)
        }
    }

    @Test
    fun `no accounts have no faults`() {
        expectThat(AccountDeclarations.check(emptyList(), listOf(route("r"))).faults).isEmpty()
    }
}
