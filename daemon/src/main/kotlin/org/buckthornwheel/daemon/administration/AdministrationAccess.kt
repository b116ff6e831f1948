package org.buckthornwheel.daemon.administration

import org.buckthornwheel.daemon.request.sha256
import org.buckthornwheel.settings.AdministrationRole
import org.buckthornwheel.settings.AdministrationToken
import java.security.MessageDigest

/** A client of the administration API: the name of its token and its role. */
internal data class Bearer(val name: String, val role: AdministrationRole)

/** Authenticates the clients of the administration API by the hashes of their tokens. */
internal class AdministrationAccess(private val tokens: List<AdministrationToken>) {
    /** The bearer with the token in the header value [authorization]; null if no token matches. */
    fun bearerOf(authorization: String?): Bearer? {
        if (tokens.isEmpty()) return Bearer(LOOPBACK, AdministrationRole.OPERATOR)
        val token = authorization?.takeIf { it.startsWith(SCHEME) }?.removePrefix(SCHEME) ?: return null
        val hash = sha256(token.encodeToByteArray()).encodeToByteArray()
        val matching = tokens.filter { MessageDigest.isEqual(it.sha256.encodeToByteArray(), hash) }
        return matching.firstOrNull()?.let { Bearer(it.name, it.role) }
    }

    private companion object {
        const val SCHEME = "Bearer "

        /** Name of every client of a listener without tokens, which the settings permit on loopback only. */
        const val LOOPBACK = "loopback"
    }
}
