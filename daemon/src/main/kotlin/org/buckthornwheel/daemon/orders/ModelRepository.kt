package org.buckthornwheel.daemon.orders

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.catch
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.decision.orders.FencingNumber
import org.buckthornwheel.decision.orders.ModelVersionStatus
import org.buckthornwheel.decision.orders.Order
import org.buckthornwheel.decision.orders.VersionName
import java.io.IOException
import kotlin.time.Duration

/** Failure of a call to a target's model repository; an order may have arrived nevertheless. */
internal data class RepositoryFailure(val step: String, val target: String, val detail: String)

/** The models of a target, reached through the model repository extension of the Open Inference Protocol. */
internal class ModelRepository(private val client: HttpClient, private val timeout: Duration) {
    /** Lists the model versions of [target] and whether they are ready. */
    suspend fun inventory(target: TargetItem): Either<RepositoryFailure, List<ModelVersionStatus>> =
        call("index", target, "/v2/repository/index", IndexRequest(), fencing = null).flatMap { text ->
            catch(
                { format.decodeFromString<List<IndexEntry>>(text).map { it.toStatus() }.right() },
                { malformed: IllegalArgumentException ->
                    RepositoryFailure("decode index", target.name.value, malformed.toString()).left()
                },
            )
        }

    /** Sends [order] with [fencing]; returns when the target has accepted it, which is before it is carried out. */
    suspend fun send(order: Order, fencing: FencingNumber): Either<RepositoryFailure, Unit> {
        val verb = if (order is Order.Load) "load" else "unload"
        val body = OrderRequest(OrderParameters(order.version.value))
        return call(verb, order.target, "/v2/repository/models/${order.model}/$verb", body, fencing).map { }
    }

    private suspend inline fun <reified Body> call(
        step: String,
        target: TargetItem,
        path: String,
        body: Body,
        fencing: FencingNumber?,
    ): Either<RepositoryFailure, String> = try {
        withTimeout(timeout) {
            val response = client.post("http://${target.address}$path") {
                contentType(ContentType.Application.Json)
                fencing?.let { header(FENCING_HEADER, it.value) }
                setBody(format.encodeToString(body))
            }
            if (!response.status.isSuccess()) throw IOException("status ${response.status.value}")
            response.bodyAsText().right()
        }
    } catch (_: TimeoutCancellationException) {
        RepositoryFailure(step, target.name.value, "no response in time").left()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        RepositoryFailure(step, target.name.value, failure.toString()).left()
    }

    @Serializable
    private class IndexRequest

    @Serializable
    private data class OrderRequest(val parameters: OrderParameters)

    @Serializable
    private data class OrderParameters(val version: String)

    @Serializable
    private data class IndexEntry(val name: String, val version: String = "1", val state: String = "") {
        fun toStatus(): ModelVersionStatus = ModelVersionStatus(ModelName(name), VersionName(version), state == READY)
    }

    private companion object {
        const val FENCING_HEADER = "Fencing-Number"
        const val READY = "READY"
        val format = Json { ignoreUnknownKeys = true }
    }
}
