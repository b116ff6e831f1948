package org.buckthornwheel.settings

import kotlinx.serialization.Serializable

/** TLS settings of the listeners; a listener without a key store serves plain HTTP. */
@Serializable
public data class TlsSettings(
    public val callers: KeyStoreFile? = null,
    public val administration: KeyStoreFile? = null,
)

/**
 * A PKCS#12 key store with one private key and its certificate chain.
 *
 * @property file the path of the key store.
 * @property passwordFile the path of a text file with the password of the key store and its private key.
 */
@Serializable
public data class KeyStoreFile(public val file: String, public val passwordFile: String)
