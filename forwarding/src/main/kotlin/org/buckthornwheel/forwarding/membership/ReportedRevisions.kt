package org.buckthornwheel.forwarding.membership

import org.buckthornwheel.api.HostName
import java.util.concurrent.ConcurrentHashMap

/** The revisions of the estate that other hosts said they know. Thread-safe. */
internal class ReportedRevisions {
    private val reported = ConcurrentHashMap<HostName, EstateRevision>()

    /** Records that [host] knows all changes up to [revision]. */
    fun record(host: HostName, revision: EstateRevision) {
        reported[host] = revision
    }

    /** Whether each of [hosts] has said that it knows all changes up to [revision]. */
    fun allKnow(revision: EstateRevision, hosts: Collection<HostName>): Boolean =
        hosts.all { host -> reported[host]?.let { it >= revision } ?: false }

    /** Forgets all hosts but [hosts]. */
    fun retain(hosts: Set<HostName>) {
        reported.keys.retainAll(hosts)
    }
}
