package org.buckthornwheel.forwarding.listener

import io.netty.util.concurrent.Future
import io.netty.util.concurrent.Promise
import java.util.concurrent.TimeUnit

/** A listener that accepts connections until it is closed. */
internal class OpenListener(private val channel: ListeningChannel) {
    /**
     * Accepts the established connections, which closing the listener would reset, and closes it.
     *
     * The selector lets go of the socket first. Otherwise it stays open until the next selection, and connections that
     * are established meanwhile are reset.
     */
    fun acceptAllAndClose(): Future<*> {
        val closed = channel.eventLoop().newPromise<Unit>()
        channel.deregister().addListener { closeOnceUnselected(closed) }
        return closed
    }

    private fun closeOnceUnselected(closed: Promise<Unit>) {
        if (channel.isSelected) {
            channel.eventLoop().schedule({ closeOnceUnselected(closed) }, CHECK_MILLISECONDS, TimeUnit.MILLISECONDS)
            return
        }
        try {
            channel.acceptEstablished(BACKLOG)
        } finally {
            channel.close()
            closed.setSuccess(Unit)
        }
    }

    companion object {
        /** Number of established connections that may wait to be accepted. */
        const val BACKLOG: Int = 1_024
        private const val CHECK_MILLISECONDS = 1L
    }
}
