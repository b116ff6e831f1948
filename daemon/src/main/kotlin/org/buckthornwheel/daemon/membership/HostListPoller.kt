package org.buckthornwheel.daemon.membership

import kotlinx.coroutines.delay
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.daemon.observability.Part
import org.buckthornwheel.platform.HostList
import kotlin.time.Duration.Companion.seconds

/** Polls the platform's list of hosts, which may be stale; its addresses are only used as seed addresses. */
internal class HostListPoller(private val hostList: HostList) {
    @Volatile
    private var latest: List<NetworkAddress> = emptyList()

    fun addresses(): List<NetworkAddress> = latest

    /** Runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            hostList.hosts()
                .onRight { hosts -> latest = hosts.map { it.peerAddress } }
                .onLeft { Part.MEMBERSHIP.warn("The host list could not be read: ${it.detail}.") }
            delay(POLL_INTERVAL)
        }
    }

    private companion object {
        val POLL_INTERVAL = 10.seconds
    }
}
