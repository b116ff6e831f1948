package org.buckthornwheel.decision.ledger

import org.buckthornwheel.api.MonotonicClock

/** Carries out the commands of an attempt; failures are reported as events too. */
public fun interface AttemptPort {
    /** Carries out [command] and returns the result; never called with [AttemptCommand.Finish]. */
    public suspend fun perform(command: AttemptCommand): AttemptEvent
}

/** Runs this attempt to its end, with [port] carrying out its commands. */
public suspend fun ActionAttempt.drive(port: AttemptPort, clock: MonotonicClock): AttemptVerdict {
    var command = start(clock.now())
    while (true) {
        if (command is AttemptCommand.Finish) return command.verdict
        command = next(port.perform(command), clock.now())
    }
}
