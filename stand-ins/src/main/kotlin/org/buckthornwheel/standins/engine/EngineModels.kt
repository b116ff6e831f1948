package org.buckthornwheel.standins.engine

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** An entry in the index of the model repository: a model version and its state. */
@Serializable
internal data class IndexEntry(val name: String, val version: String, val state: String)

/** An order that the engine accepted. */
@Serializable
internal data class TakenOrder(val verb: String, val model: String, val version: String, val fencing: Long)

/** The model versions of an engine stand-in; loading takes time, and the check of fencing numbers is optional. */
internal class EngineModels(private val loadMilliseconds: Long, private val checksFencing: Boolean) {
    private data class ModelVersion(val model: String, val version: String, val readyAtMilliseconds: Long)

    private val versions = ArrayList<ModelVersion>()
    private val orders = ArrayList<TakenOrder>()
    private var highestFencingNumber = 0L

    @Synchronized
    fun index(): List<IndexEntry> = versions.map {
        IndexEntry(
            it.model,
            it.version,
            if (System.currentTimeMillis() >= it.readyAtMilliseconds) "READY" else "LOADING",
        )
    }

    @Synchronized
    fun acceptedOrders(): List<TakenOrder> = orders.toList()

    /** Applies [order]; returns false if it was rejected because of its fencing number. */
    @Synchronized
    fun applyOrder(order: TakenOrder): Boolean {
        if (checksFencing && order.fencing < highestFencingNumber) return false
        highestFencingNumber = maxOf(highestFencingNumber, order.fencing)
        orders += order
        versions.removeIf { it.model == order.model && it.version == order.version }
        if (order.verb ==
            "load"
        ) {
            versions += ModelVersion(order.model, order.version, System.currentTimeMillis() + loadMilliseconds)
        }
        return true
    }

    /** Installs the routes of the published model repository protocol, and `GET /orders` for tests. */
    fun install(route: Route): Unit = with(route) {
        post("/v2/repository/index") { call.respondText(Json.encodeToString(index()), ContentType.Application.Json) }
        post("/v2/repository/models/{model}/{verb}") { respondToOrder() }
        get("/orders") { call.respondText(Json.encodeToString(acceptedOrders()), ContentType.Application.Json) }
    }

    private suspend fun RoutingContext.respondToOrder() {
        val parameters = Json.parseToJsonElement(call.receiveText()).jsonObject.getValue("parameters").jsonObject
        val order = TakenOrder(
            verb = call.parameters["verb"].orEmpty(),
            model = call.parameters["model"].orEmpty(),
            version = parameters.getValue("version").jsonPrimitive.content,
            fencing = call.request.headers["Fencing-Number"]?.toLong() ?: 0L,
        )
        val status = if (applyOrder(order)) HttpStatusCode.OK else HttpStatusCode.Conflict
        call.respondText("{}", ContentType.Application.Json, status)
    }
}
