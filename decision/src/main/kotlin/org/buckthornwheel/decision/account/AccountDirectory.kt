/*
 * Finds the client account of a key that a caller presents.
 */

package org.buckthornwheel.decision.account

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * The client accounts of a manifest by their keys.
 *
 * The index holds a digest of each key under a [secret] that callers cannot know, and compares whole digests in
 * constant time. The duration of a lookup therefore says nothing about how much of a guessed key is right, and callers
 * cannot choose keys that share a place in the index. A key that several accounts declare belongs to none of them.
 *
 * @param secret random bytes that stay in this process.
 */
public class AccountDirectory(accounts: List<ClientAccount>, secret: ByteArray) {
    private class KeyDigest(private val bytes: ByteArray) {
        override fun equals(other: Any?): Boolean = other is KeyDigest && MessageDigest.isEqual(bytes, other.bytes)

        override fun hashCode(): Int = ByteBuffer.wrap(bytes).int
    }

    private val seededDigest = MessageDigest.getInstance(ALGORITHM).apply { update(secret) }
    private val longestKey = accounts.maxOfOrNull { account -> account.keys.maxOfOrNull { it.value.length } ?: 0 } ?: 0
    private val accountsByKey: Map<KeyDigest, ClientAccount> = index(accounts)

    /** Number of keys that are valid. */
    public val size: Int get() = accountsByKey.size

    /** The account of [key]; null if the key is not valid. */
    public fun find(key: AccountKey): ClientAccount? =
        if (key.value.length > longestKey) null else accountsByKey[digest(key)]

    private fun index(accounts: List<ClientAccount>): Map<KeyDigest, ClientAccount> {
        val owners = HashMap<KeyDigest, ClientAccount>()
        val ambiguous = HashSet<KeyDigest>()
        for (account in accounts) {
            for (digest in account.keys.map(::digest)) {
                if (owners.putIfAbsent(digest, account) != null) ambiguous += digest
            }
        }
        owners.keys.removeAll(ambiguous)
        return owners
    }

    private fun digest(key: AccountKey): KeyDigest {
        val digest = seededDigest.clone() as MessageDigest
        return KeyDigest(digest.digest(key.value.encodeToByteArray()))
    }

    /** Predefined directories. */
    public companion object {
        private const val ALGORITHM = "SHA-256"

        /** The directory of a manifest that declares no accounts. */
        public val EMPTY: AccountDirectory = AccountDirectory(emptyList(), ByteArray(0))
    }
}
