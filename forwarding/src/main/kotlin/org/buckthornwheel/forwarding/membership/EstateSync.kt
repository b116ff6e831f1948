package org.buckthornwheel.forwarding.membership

/**
 * What a host knows of the estate from the store, as it hands it to hosts that are cut off from there.
 *
 * Safe for use by several threads. Texts are in the format of the deployment's adapter.
 */
public interface EstateSync {
    /** The store's revision up to which changes are known; 0 if none is. */
    public val revision: Long

    /** All changes after [revision], and what was removed; null if none is known. */
    public fun changesAfter(revision: Long): String?

    /** Takes over the [changes] that another host gave. */
    public fun applyChanges(changes: String)

    /** Shares. */
    public companion object {
        /** Nothing is known and nothing is taken over. */
        public val NONE: EstateSync = object : EstateSync {
            override val revision: Long get() = 0

            override fun changesAfter(revision: Long): String? = null

            override fun applyChanges(changes: String): Unit = Unit
        }
    }
}
