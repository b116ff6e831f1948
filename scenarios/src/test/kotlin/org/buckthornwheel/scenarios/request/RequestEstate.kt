package org.buckthornwheel.scenarios.request

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.protocol.administration.TargetView
import org.buckthornwheel.settings.TimeoutSettings
import org.buckthornwheel.testing.FaultProxy
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.LocalTarget
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.StreamEvent
import org.buckthornwheel.testing.StreamingCaller
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout

/** A running estate with a caller and an operator; its engines are behind fault proxies on request. */
class RequestEstate private constructor(val estate: LocalEstate, proxied: Boolean) : AutoCloseable {
    private val proxies = estate.engines.filter { proxied }.associateWith { FaultProxy(it.address) }
    val caller = StreamingCaller(estate.layout.accounts.first().token)
    val operator = Operator()

    fun proxy(engine: LocalTarget): FaultProxy = proxies.getValue(engine)

    fun engine(name: String): LocalTarget = estate.engines.single { it.name == name }

    suspend fun isListedAsLeaving(engine: LocalTarget): Boolean {
        val body = operator.get(estate.hosts.first(), "/administration/v1/targets")
        return Json.decodeFromString<List<TargetView>>(body).single { it.name == engine.name }.leaving
    }

    private fun start(additionalItems: List<EstateItem>): Unit = runBlocking {
        estate.addressOf = { target -> proxies[target]?.address ?: target.address }
        estate.startStandIns()
        estate.hosts.forEach(estate::startHost)
        val note = estate.firstNote()
        awaitUntil("the note is accepted") {
            operator.submit(estate.hosts.first(), note.copy(added = note.added + additionalItems)).accepted
        }
        estate.hosts.forEach { host -> awaitUntil("${host.name} is ready") { operator.isReady(host) } }
    }

    override fun close() {
        caller.close()
        operator.close()
        proxies.values.forEach { it.close() }
        estate.close()
    }

    companion object {
        /** One zone with one host and [engines] engines behind fault proxies. */
        fun oneZone(engines: Int): RequestEstate = started(emptyList(), proxied = true) {
            zone("salish-south-a", "salish-south", hosts = 1, engines = engines, services = 0)
        }

        /** Two zones in two regions, with [additionalItems] in the first note. */
        fun twoZones(additionalItems: List<EstateItem>): RequestEstate = started(additionalItems, proxied = false) {
            zone("salish-south-a", "salish-south", hosts = 1, engines = 1, services = 0)
            zone("strait-north-a", "strait-north", hosts = 1, engines = 1, services = 0)
        }

        /**
         * Two zones whose hosts end at the latest [graceMilliseconds] after they announced that they are leaving.
         *
         * Only the first zone has an engine, and only the second one the service, to which the first one forwards.
         */
        fun withShortGrace(graceMilliseconds: Long): RequestEstate =
            started(emptyList(), proxied = false, timeouts(graceMilliseconds)) {
                zone("salish-south-a", "salish-south", hosts = 1, engines = 1, services = 0)
                zone("strait-north-a", "strait-north", hosts = 1, engines = 0, services = 1)
                serviceArguments = listOf("--work", "300")
            }

        private fun started(
            additionalItems: List<EstateItem>,
            proxied: Boolean,
            times: TimeoutSettings = timeouts(TimeoutSettings().shutdownGraceMilliseconds),
            zones: org.buckthornwheel.testing.EstateLayoutBuilder.() -> Unit,
        ): RequestEstate {
            val layout = estateLayout {
                zones()
                engineArguments = listOf("--token-interval", "10")
                timeouts = times
            }
            return RequestEstate(LocalEstate.of(layout), proxied).also { it.start(additionalItems) }
        }

        private fun timeouts(shutdownGraceMilliseconds: Long): TimeoutSettings = TimeoutSettings(
            heartbeatIntervalMilliseconds = 250,
            betweenChunksMilliseconds = 1_500,
            shutdownGraceMilliseconds = shutdownGraceMilliseconds,
        )
    }
}

private val TOKEN = Regex(""""content":"[^"]*?:(\d+) """")

/** The token numbers in these events, in order of arrival. */
fun List<StreamEvent>.tokenNumbers(): List<Int> =
    mapNotNull { event -> TOKEN.find(event.data)?.groupValues?.get(1)?.toInt() }
