package org.buckthornwheel.daemon.configuration

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.platform.KeyValueStore
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.WatchEvent
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the estate up to date from the platform's log.
 *
 * Every host reads the log when it starts. After that, only the hosts on watch duty follow it: they watch the log,
 * and check at intervals for a note that the watch did not deliver, since a watch can stop delivering for good
 * without an error. The other hosts get notes from their peers and read the log seldom.
 */
internal class ConfigurationFollower(
    private val store: KeyValueStore,
    private val log: NoteLog,
    private val estateHolder: EstateHolder,
    private val duty: WatchDuty,
) {
    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            val version = catchUp().getOrElse {
                Part.CONFIGURATION.warn("The log could not be read: ${it.step} at ${it.peer}: ${it.detail}.")
                null
            }
            if (version == null) delay(RETRY_INTERVAL) else follow(version)
        }
    }

    /** Follows the log from [version] on; returns when the log has to be read again. */
    private suspend fun follow(version: Long) {
        if (duty.isHeld()) return watchWithChecks(version + 1)
        repeat(DUTY_CHECKS_PER_READ) {
            delay(CHECK_INTERVAL)
            if (duty.isHeld()) return
        }
    }

    private suspend fun watchWithChecks(version: Long): Unit = coroutineScope {
        val watch = launch { watchFrom(version) }
        while (watch.isActive && duty.isHeld()) {
            delay(CHECK_INTERVAL)
            if (isBehind()) {
                Part.CONFIGURATION.warn("The watch did not deliver a note of the log and is restarted.")
                break
            }
        }
        watch.cancel()
    }

    /** Whether the log has a note that the watch has not delivered within [RETRY_INTERVAL]. */
    private suspend fun isBehind(): Boolean {
        val next = estateHolder.current().revision.next()
        if (log.read(next).getOrElse { null } == null) return false
        delay(RETRY_INTERVAL)
        return estateHolder.current().revision < next
    }

    /** Reads and applies every missing note; returns the version of the service's state at the last read. */
    private suspend fun catchUp(): Either<PlatformFailure, Long> {
        while (true) {
            val page = log.readAfter(estateHolder.current().revision).getOrElse { return Either.Left(it) }
            page.notes.forEach(estateHolder::offer)
            if (page.notes.isEmpty()) return Either.Right(page.version)
        }
    }

    private suspend fun watchFrom(version: Long) {
        try {
            store.watch(NoteLog.PREFIX, version).collect { event ->
                event.onRight(::apply)
                event.onLeft { throw WatchEnded(it) }
            }
        } catch (ended: WatchEnded) {
            Part.CONFIGURATION.warn("The watch at ${ended.failure.peer} ended: ${ended.failure.detail}.")
        }
    }

    private fun apply(event: WatchEvent) {
        if (event is WatchEvent.Put) estateHolder.offer(log.decode(event.value).getOrElse { throw WatchEnded(it) })
    }

    private class WatchEnded(val failure: PlatformFailure) : CancellationException("watch ended")

    private companion object {
        val RETRY_INTERVAL = 500.milliseconds
        val CHECK_INTERVAL = 2.seconds
        const val DUTY_CHECKS_PER_READ = 15
    }
}
