package org.buckthornwheel.scenarios.action

import org.buckthornwheel.testing.Caller
import org.buckthornwheel.testing.CallerResponse
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalHost
import org.buckthornwheel.testing.ObservedEffect
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.ServiceObserver
import org.buckthornwheel.testing.ZoneLinks
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout

/** One zone of two hosts behind links with injectable faults, one caller, and an observer of the service's effects. */
internal class ActionEstate : AutoCloseable {
    val estate = LocalEstate.of(estateLayout { zone("salish-south-a", "salish-south", hosts = 2, engines = 0) })
    val links = ZoneLinks(estate)
    val firstHost: LocalHost = estate.hosts[0]
    val secondHost: LocalHost = estate.hosts[1]
    private val observer = ServiceObserver()
    private val operator = Operator()
    private val caller = Caller(estate.layout.accounts.first().token)

    suspend fun start() {
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        awaitUntil("the note is accepted") { operator.submit(firstHost, estate.firstNote()).accepted }
        estate.hosts.forEach { host ->
            awaitUntil("${host.name} is ready") { operator.isReady(host) && metric(host, REGISTERED) == 1.0 }
        }
        val target = estate.services.single().name
        estate.hosts.forEach { host ->
            awaitUntil("${host.name} lists the service as a target") {
                operator.get(host, "/administration/v1/targets").contains(target)
            }
            awaitUntil("${host.name} runs actions") { sendAction(host, "warm-up-${host.name}").status == OK }
        }
    }

    suspend fun sendAction(host: LocalHost, key: String, body: String = BODY, attempt: Int? = null): CallerResponse =
        caller.act(host.callers, key, body, attempt)

    suspend fun effects(key: String): List<ObservedEffect> =
        observer.effects(estate.services).filter { it.idempotencyKey == key }

    suspend fun metric(host: LocalHost, name: String): Double = operator.get(host, "/metrics").lines()
        .first { it.startsWith(name) }
        .substringAfterLast(' ')
        .toDouble()

    override fun close() {
        listOf(observer, operator, caller).forEach { it.close() }
        estate.close()
        links.close()
    }

    companion object {
        const val OK = 200
        const val BODY = """{"line":"frayed"}"""
        const val REGISTERED = "buckthornwheel_actions_registered"
        const val PLATFORM_CALLS = "buckthornwheel_actions_platform_calls_total"
        const val PROMISED_RUNS = "buckthornwheel_actions_promised_runs_total"
        const val PENDING_RESULTS = "buckthornwheel_actions_results_pending"
    }
}
