package org.buckthornwheel.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.catch
import arrow.core.right
import org.buckthornwheel.platform.PlatformFailure
import org.buckthornwheel.platform.StoredValue

/**
 * Decodes the text of [stored] with [decode]; a malformed value becomes a failure of [step] that names its key.
 *
 * Other writers share the platform's key-value service, and a value that they damaged must not end the caller's loop.
 */
internal fun <Value> decodeStored(
    step: String,
    stored: StoredValue,
    decode: (String) -> Value,
): Either<PlatformFailure, Value> = catch(
    { decode(stored.value.bytes.decodeToString()).right() },
    { malformed: IllegalArgumentException ->
        PlatformFailure(step, stored.key, malformed.toString(), mayHaveTakenEffect = false).left()
    },
)
