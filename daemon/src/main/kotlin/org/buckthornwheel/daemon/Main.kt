/*
 * Process of one entry host.
 */

package org.buckthornwheel.daemon

import com.github.ajalt.clikt.core.main

/** Entry point of the daemon. */
public fun main(arguments: Array<String>) {
    DaemonCommand().main(arguments)
}
