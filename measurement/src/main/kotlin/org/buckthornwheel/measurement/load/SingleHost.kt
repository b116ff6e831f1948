package org.buckthornwheel.measurement.load

import org.buckthornwheel.testing.EstateLayout
import org.buckthornwheel.testing.estateLayout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The smallest estate under load: one host and one engine stand-in.
 *
 * The engine generates a token every [TOKEN_INTERVAL_MS].
 */
internal object SingleHost {
    /** Requests that the engine processes concurrently. */
    const val SLOTS: Int = 16_384

    /** Time between two tokens of a response. */
    const val TOKEN_INTERVAL_MS: Int = 10

    private const val WARM_UP_SEED = 99
    private val TIMEOUT = 10.seconds

    fun layout(): EstateLayout = estateLayout {
        zone("salish-south-a", "salish-south", hosts = 1, engines = 1, services = 0)
        engineArguments =
            listOf("--first-token", "0", "--token-interval", "$TOKEN_INTERVAL_MS", "--slots", "$SLOTS")
    }

    fun plan(estate: LoadEstate, shape: RequestShape, rate: Double, measured: Duration, seed: Int): LoadPlan = LoadPlan(
        destination = estate.host.callers,
        bearerToken = estate.processes.layout.accounts.first().token,
        shape = shape,
        requestsPerSecond = rate,
        warmUp = 1.seconds,
        measured = measured,
        timeout = TIMEOUT,
        seed = seed,
    )

    /** Warms up the daemon, so that its code is JIT-compiled before measurements start. */
    suspend fun warmUp(estate: LoadEstate, driver: LoadDriver, duration: Duration) {
        val whole = plan(estate, RequestShape(tokens = 1, streamed = false), WARM_UP_RATE, duration, WARM_UP_SEED)
        val streamed = plan(estate, RequestShape(tokens = 32, streamed = true), WARM_UP_RATE, duration, WARM_UP_SEED)
        driver.run(listOf(whole, streamed))
    }

    private const val WARM_UP_RATE = 150.0
}
