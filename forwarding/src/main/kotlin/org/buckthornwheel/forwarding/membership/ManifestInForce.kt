package org.buckthornwheel.forwarding.membership

/** What hosts tell each other of the manifest in force; implementations are thread-safe. */
public interface ManifestInForce {
    /** Version of the manifest in force; 0 if there is none. */
    public val version: Long

    /** Whether requests of client accounts are rejected, since keys may have been removed meanwhile. */
    public val refusesAccounts: Boolean

    /** Records that a manifest with [version] exists; an older one is not current even if the store holds it. */
    public fun recordVersion(version: Long)
}
