package org.buckthornwheel.testing

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** An effect recorded by a replica of the plain service. */
@Serializable
public data class ObservedEffect(
    public val operation: String,
    public val idempotencyKey: String?,
    public val body: String,
)

/** Reads the effects that the replicas of the plain service recorded. */
public class ServiceObserver : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Returns all effects recorded by [services]. */
    public suspend fun effects(services: List<LocalTarget>): List<ObservedEffect> = services.flatMap { service ->
        Json.decodeFromString<List<ObservedEffect>>(client.get("http://${service.address}/effects").bodyAsText())
    }

    override fun close(): Unit = client.close()
}
