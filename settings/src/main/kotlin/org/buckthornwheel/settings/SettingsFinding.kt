package org.buckthornwheel.settings

import kotlinx.serialization.Serializable

/**
 * An error in a settings file.
 *
 * @property path the JSONPath of the value, such as `$.listen.callers`.
 * @property found the value in the file.
 * @property allowed a description of the allowed values.
 */
@Serializable
public data class SettingsFinding(public val path: String, public val found: String, public val allowed: String) {
    override fun toString(): String = "$path: found $found; allowed: $allowed"
}
