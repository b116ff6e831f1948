/*
 * Commands that show the state known to a host, and the command that drains a host.
 */

package org.buckthornwheel.commandline

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.protocol.administration.EstateView
import org.buckthornwheel.protocol.administration.HostView
import org.buckthornwheel.protocol.administration.TargetView

private const val ACCEPTED = 202

internal class EstateCommand : CliktCommand(name = "estate") {
    override fun help(context: Context): String = "Shows the estate in force."

    override fun run(): Unit = Unit
}

internal class EstateShowCommand : CliktCommand(name = "show") {
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Shows each item of the estate in force on the host at --address."

    override fun run() {
        val estate =
            AdministrationClient(this, globalOptions).fetchView<EstateView>("/administration/v1/estate") ?: return
        echo("Revision ${estate.revision}")
        val rows = estate.items.map {
            listOf(it.key.kind.name.lowercase().replace('_', '-'), it.key.name, Json.encodeToString<EstateItem>(it))
        }
        showTable(listOf("KIND", "NAME", "ITEM"), rows)
    }
}

internal class HostsCommand : CliktCommand(name = "hosts") {
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Lists the hosts with their state as known to the host at --address."

    override fun run() {
        val hosts =
            AdministrationClient(this, globalOptions).fetchView<List<HostView>>("/administration/v1/hosts") ?: return
        val rows = hosts.map {
            listOf(it.name, it.region, it.zone, it.state, it.revision, it.silentMilliseconds, it.callerAddress)
        }
        showTable(listOf("HOST", "REGION", "ZONE", "STATE", "REVISION", "SILENT-MS", "CALLERS-AT"), rows)
    }
}

internal class TargetsCommand : CliktCommand(name = "targets") {
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String =
        "Lists the targets with their state as known to the host at --address."

    override fun run() {
        val targets =
            AdministrationClient(this, globalOptions).fetchView<List<TargetView>>("/administration/v1/targets")
                ?: return
        val rows = targets.map {
            listOf(it.name, it.zone, it.running ?: "-", it.waiting ?: "-", it.ownInFlight, it.ejected, it.leaving)
        }
        showTable(listOf("TARGET", "ZONE", "RUNNING", "WAITING", "OWN", "EJECTED", "LEAVING"), rows)
    }
}

internal class DrainCommand : CliktCommand(name = "drain") {
    private val globalOptions by requireObject<GlobalOptions>()

    override fun help(context: Context): String = "Drains the host at --address: it finishes its requests, then stops."

    override fun run() {
        val client = AdministrationClient(this, globalOptions)
        val response = client.post("/administration/v1/drain", "")
        if (response.status != ACCEPTED) client.failRejected(response)
        val state = response.body.trim()
        echo(if (globalOptions.json) buildJsonObject { put("state", JsonPrimitive(state)) } else state)
    }
}
