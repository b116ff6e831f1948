package org.buckthornwheel.daemon.identity

import kotlinx.coroutines.runBlocking
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.platform.AccountChange
import org.buckthornwheel.platform.DirectoryAccount
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.time.Duration
import java.time.Instant

class AccountDirectoryTest {
    private val halvorsen = AccountName("halvorsen")
    private val platform = FakeDirectory(listOf(account(halvorsen, "old")))
    private var now = Instant.ofEpochSecond(1_000)
    private val directory = AccountDirectory(platform) { now }

    private fun account(name: AccountName, token: String) = DirectoryAccount(name, sha256(token.encodeToByteArray()))

    private fun refreshAfter(duration: Duration) = runBlocking {
        now += duration
        directory.refresh()
    }

    @Nested
    inner class `given a directory that has been read` {
        init {
            runBlocking { directory.refresh() }
        }

        @Test
        fun `only changes are read, and a new token replaces the old one`() {
            platform.changes = listOf(AccountChange(account(halvorsen, "new"), active = true))
            refreshAfter(Duration.ofSeconds(15))
            expectThat(platform.fullReads).isEqualTo(1)
            expectThat(directory.accountOf("old")).isNull()
            expectThat(directory.accountOf("new")).isEqualTo(halvorsen)
        }

        @Test
        fun `an account that is no longer active is not recognized`() {
            platform.changes = listOf(AccountChange(account(halvorsen, "old"), active = false))
            refreshAfter(Duration.ofSeconds(15))
            expectThat(directory.accountOf("old")).isNull()
        }

        @Test
        fun `callers are recognized while the directory is unavailable`() {
            platform.isUnavailable = true
            refreshAfter(Duration.ofHours(2))
            expectThat(directory.accountOf("old")).isEqualTo(halvorsen)
        }

        @Test
        fun `the full list is read every 30 minutes, so that deleted accounts are noticed`() {
            platform.all = emptyList()
            refreshAfter(Duration.ofMinutes(30))
            expectThat(directory.accountOf("old")).isNull()
        }
    }
}
