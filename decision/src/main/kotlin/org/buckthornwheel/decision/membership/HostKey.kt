package org.buckthornwheel.decision.membership

import org.apache.commons.codec.digest.MurmurHash3

/**
 * Identifies one incarnation of a host by a 64-bit hash of the immutable parts of its profile.
 *
 * Gossip repeats the key every second instead of names and addresses, which are sent only to hosts that lack them.
 */
@JvmInline
public value class HostKey(public val value: Long) {
    /** Creates keys. */
    public companion object {
        private const val SEED = 0

        /** The key of [profile]; [HostProfile.leaving] is not part of it. */
        public fun of(profile: HostProfile): HostKey {
            val parts = listOf(
                profile.name,
                profile.incarnation,
                profile.region,
                profile.zone,
                profile.callerAddress,
                profile.peerAddress,
            )
            val bytes = parts.joinToString("\u0000").encodeToByteArray()
            return HostKey(MurmurHash3.hash128x64(bytes, 0, bytes.size, SEED)[0])
        }
    }
}
