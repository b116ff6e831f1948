package org.buckthornwheel.protocol.peer

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret key shared by all hosts, with which they authenticate their messages; [secret] is never printed. */
public class SigningKey(public val identifier: String, private val secret: ByteArray) {
    internal fun sign(message: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        return mac.doFinal(message)
    }

    override fun toString(): String = "SigningKey($identifier)"

    private companion object {
        const val ALGORITHM = "HmacSHA256"
    }
}

/** Signs with the first of its keys and verifies with any of them, so that keys can be rotated one host at a time. */
public class MessageSigner(private val keys: List<SigningKey>) {
    init {
        require(keys.isNotEmpty()) { "at least one signing key is required" }
    }

    /** The signature of [message] under the first key. */
    public fun sign(message: ByteArray): ByteArray = keys.first().sign(message)

    /** Whether [signature] is valid for [message] under any of the keys; compares in constant time. */
    public fun verifies(message: ByteArray, signature: ByteArray): Boolean =
        keys.any { MessageDigest.isEqual(it.sign(message), signature) }

    /** Format of a signature. */
    public companion object {
        /** Length of a signature in bytes. */
        public const val SIGNATURE_BYTES: Int = 32
    }
}
