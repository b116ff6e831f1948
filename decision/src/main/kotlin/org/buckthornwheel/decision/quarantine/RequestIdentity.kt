package org.buckthornwheel.decision.quarantine

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/**
 * Identifies what a request asks, equally on all hosts and for each attempt of its caller.
 *
 * A digest, so that hosts can exchange and log it without the content. The request identifier, the deadline and other
 * headers differ from attempt to attempt and are left out.
 */
public object RequestIdentity {
    private const val ALGORITHM = "SHA-256"

    /** 64 bits: a chance match of two of a million requests is less likely than one in ten million. */
    private const val DIGEST_BYTES = 8

    /** Distinguishes identities from prompt parts, whose list is separated by commas. */
    private const val MARK = ","

    /** The identity of a request with the given [target] (host, method and path) and [content]. */
    public fun of(target: List<String>, content: List<ByteArray>): String {
        val digest = MessageDigest.getInstance(ALGORITHM)
        for (bytes in target.map { it.encodeToByteArray() } + content) {
            digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(0, bytes.size))
            digest.update(bytes)
        }
        val truncated = digest.digest().copyOf(DIGEST_BYTES)
        return MARK + Base64.getUrlEncoder().withoutPadding().encodeToString(truncated)
    }

    /** Whether [suspect] identifies a whole request rather than a prompt part. */
    public fun isRequest(suspect: String): Boolean = suspect.startsWith(MARK)
}
