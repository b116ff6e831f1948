package org.buckthornwheel.daemon.request

import java.security.MessageDigest
import java.util.HexFormat

/** The SHA-256 of [bytes] in hexadecimal. */
internal fun sha256(bytes: ByteArray): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
