package org.buckthornwheel.daemon.identity

import arrow.core.Either
import kotlinx.coroutines.delay
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.platform.AccountChange
import org.buckthornwheel.platform.ClientDirectory
import org.buckthornwheel.platform.PlatformFailure
import java.time.Instant
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Caches the callers' accounts in memory, so that callers are recognized while the directory is unavailable.
 *
 * Reads changes often and the full list seldom, so that the traffic does not grow with the number of accounts.
 */
internal class AccountDirectory(private val directory: ClientDirectory, private val wallClock: () -> Instant) {
    @Volatile
    private var accounts: Map<String, AccountName> = emptyMap()

    @Volatile
    private var fullReadAt: Instant? = null
    private var changesReadAt: Instant = Instant.EPOCH

    /** Whether the directory has been read at least once. */
    val loaded: Boolean get() = fullReadAt != null

    /** The account of the callers that send [token]; null if there is none. */
    fun accountOf(token: String): AccountName? = accounts[sha256(token.encodeToByteArray())]

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            refresh().onLeft { Part.DIRECTORY.warn("The client directory could not be read: ${it.detail}.") }
            delay(if (loaded) REFRESH_INTERVAL else FIRST_READ_RETRY_DELAY)
        }
    }

    /** Reads the changes since the last read, or the full list if it is due. */
    suspend fun refresh(): Either<PlatformFailure, Unit> {
        val now = wallClock()
        val lastFullRead = fullReadAt
        val isFullReadDue = lastFullRead == null || now >= lastFullRead + FULL_READ_INTERVAL.toJavaDuration()
        return if (isFullReadDue) readAll(now) else readChanges(now)
    }

    private suspend fun readAll(now: Instant): Either<PlatformFailure, Unit> = directory.accounts().map { listed ->
        accounts = listed.associate { it.tokenSha256 to it.name }
        changesReadAt = now
        fullReadAt = now
    }

    private suspend fun readChanges(now: Instant): Either<PlatformFailure, Unit> =
        directory.changedSince(changesReadAt - MAXIMUM_CLOCK_LAG.toJavaDuration()).map { changes ->
            if (changes.isNotEmpty()) accounts = changes.fold(accounts, ::applyChange)
            changesReadAt = now
        }

    private fun applyChange(known: Map<String, AccountName>, change: AccountChange): Map<String, AccountName> {
        val others = known.filterValues { it != change.account.name }
        return if (change.active) others + (change.account.tokenSha256 to change.account.name) else others
    }

    private companion object {
        val REFRESH_INTERVAL = 15.seconds
        val FIRST_READ_RETRY_DELAY = 1.seconds

        /** Longest time until an account that was deleted, not only made inactive, is noticed. */
        val FULL_READ_INTERVAL = 30.minutes

        /** Maximum time by which the directory's clock may be behind this host's. */
        val MAXIMUM_CLOCK_LAG = 60.seconds
    }
}
