/*
 * A demonstration on one machine: starts the stand-ins and hosts of two zones, submits a release note with the command
 * line, and sends requests as a caller.
 */

package org.buckthornwheel.testing

import kotlinx.coroutines.runBlocking

/** Entry point of the demonstration. */
public fun main() {
    val layout = estateLayout()
    LocalEstate.of(layout).use { estate ->
        println("Starting ${estate.hosts.size} hosts and their stand-ins; outputs are in ${estate.directory}.")
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        runBlocking { demonstrate(estate) }
    }
}

private suspend fun demonstrate(estate: LocalEstate) {
    val first = estate.hosts.first()
    Operator().use { operator ->
        estate.hosts.forEach { host -> awaitUntil("${host.name} answers") { operator.hosts(host).isNotEmpty() } }
        estate.runCommandLine(first, listOf("release-note", "submit", estate.writeNote(estate.firstNote()).toString()))
        estate.hosts.forEach { host -> awaitUntil("${host.name} is ready") { operator.isReady(host) } }
    }
    println("The release note is in force on every host.")
    Caller(estate.layout.accounts.first().token).use { caller ->
        println("Entry hosts: ${caller.entryHosts(first.callers).hosts.map { it.name }}")
        println("Streamed completion: ${caller.complete(first.callers, "mooring", tokens = 8, stream = true)}")
        println("Whole completion: ${caller.complete(first.callers, "anchor", tokens = 8, stream = false)}")
        println("Action: ${caller.act(first.callers, "demonstration-1", """{"line":"frayed"}""")}")
    }
}
