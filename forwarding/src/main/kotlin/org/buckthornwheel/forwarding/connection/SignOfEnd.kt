package org.buckthornwheel.forwarding.connection

import org.buckthornwheel.api.MonotonicInstant

/**
 * A sign that the process of a target may have ended.
 *
 * @property absentAt a time at or after which nothing accepted connections at the address of the target; null if there
 *   may not have been one.
 */
internal class SignOfEnd(val reason: String, val absentAt: MonotonicInstant? = null)
