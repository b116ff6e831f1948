package org.buckthornwheel.forwarding.membership

/**
 * Exchanges estate changes from the store with hosts that cannot reach the store.
 *
 * Implementations are thread-safe. The text format is defined by the adapter of the deployment.
 */
public interface EstateSync {
    /** The store revision up to which all changes are known. */
    public val revision: EstateRevision

    /** All changes after [revision], including deletions; null if none is known. */
    public fun changesAfter(revision: EstateRevision): String?

    /** Applies the [changes] received from another host. */
    public fun applyChanges(changes: String)

    /** What this host has in force, with its manifest if that is newer than [version]; null if there is none. */
    public fun inForce(version: Long): String? = null

    /** Default implementation. */
    public companion object {
        /** Has no changes and ignores those that it receives. */
        public val NONE: EstateSync = object : EstateSync {
            override val revision: EstateRevision get() = EstateRevision.NONE

            override fun changesAfter(revision: EstateRevision): String? = null

            override fun applyChanges(changes: String): Unit = Unit
        }
    }
}
