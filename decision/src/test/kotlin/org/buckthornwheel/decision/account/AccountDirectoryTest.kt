package org.buckthornwheel.decision.account

import org.buckthornwheel.api.AccountName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNull

internal class AccountDirectoryTest {
    private val secret = ByteArray(32) { it.toByte() }

    private fun account(name: String, vararg keys: String) =
        ClientAccount(AccountName(name), keys.mapTo(HashSet(), ::AccountKey), emptySet(), priority = null, limit = null)

    private fun AccountDirectory.nameOf(key: String): String? = find(AccountKey(key))?.name?.value

    @Test
    fun `each key of each of many accounts selects its account`() {
        val accounts = (1..2_000).map { account("account-$it", "key-$it-a", "key-$it-b", "key-$it-c") }
        val directory = AccountDirectory(accounts, secret)
        expectThat(directory.size).isEqualTo(6_000)
        for (number in 1..2_000) {
            expectThat(directory.nameOf("key-$number-b")).isEqualTo("account-$number")
        }
    }

    /** The text of a manifest may be kept besides. */
    @Test
    fun `2,000 accounts with four keys each take less than 6 MB`() {
        fun usedBytes(): Long {
            repeat(3) { System.gc() }
            return Runtime.getRuntime().run { totalMemory() - freeMemory() }
        }
        val before = usedBytes()
        val accounts = (1..2_000).map { number ->
            account("account-$number", *Array(4) { "$number-$it".padEnd(20, 'k') })
        }
        val directory = AccountDirectory(accounts, secret)
        val taken = usedBytes() - before
        println("2,000 accounts with 8,000 keys: $taken bytes")
        expectThat(directory.size).isEqualTo(8_000)
        expectThat(accounts.size).isEqualTo(2_000)
        expectThat(taken).isLessThan(6_000_000)
    }

    @Test
    fun `a key that is unknown, empty, longer, shorter or in another case selects no account`() {
        val directory = AccountDirectory(listOf(account("one", "k".repeat(20) + "Q")), secret)
        for (key in listOf(
            "",
            "other",
            "k".repeat(20),
            "k".repeat(20) + "q",
            "k".repeat(20) + "Qx",
            "k".repeat(65_536),
        )) {
            expectThat(directory.nameOf(key)).isNull()
        }
    }

    @Test
    fun `a key of several accounts selects none of them`() {
        val accounts = listOf(account("one", "a", "shared"), account("two", "b", "shared"), account("three", "shared"))
        val directory = AccountDirectory(accounts, secret)
        expectThat(directory.nameOf("shared")).isNull()
        expectThat(directory.nameOf("a")).isEqualTo("one")
        expectThat(directory.nameOf("b")).isEqualTo("two")
    }

    @Test
    fun `the text of an account does not contain its keys`() {
        expectThat("secret-key" in account("one", "secret-key").toString()).isFalse()
    }
}
