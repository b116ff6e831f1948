package org.buckthornwheel.daemon.identity

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.buckthornwheel.platform.AccountChange
import org.buckthornwheel.platform.ClientDirectory
import org.buckthornwheel.platform.DirectoryAccount
import org.buckthornwheel.platform.PlatformFailure
import java.time.Instant

/** An in-memory client directory that can be unavailable. */
internal class FakeDirectory(var all: List<DirectoryAccount>) : ClientDirectory {
    var changes = emptyList<AccountChange>()
    var isUnavailable = false
    var fullReads = 0

    override suspend fun accounts(): Either<PlatformFailure, List<DirectoryAccount>> {
        fullReads += 1
        return respond(all)
    }

    override suspend fun changedSince(instant: Instant): Either<PlatformFailure, List<AccountChange>> = respond(changes)

    private fun <Result> respond(result: Result): Either<PlatformFailure, Result> =
        if (isUnavailable) PlatformFailure("list", "directory", "unavailable", false).left() else result.right()
}
