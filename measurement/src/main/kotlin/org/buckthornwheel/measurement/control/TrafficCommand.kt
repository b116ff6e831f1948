package org.buckthornwheel.measurement.control

import com.github.ajalt.clikt.core.CliktCommand
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.buckthornwheel.measurement.fit.Point
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.MeasuredPage
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.rowOf
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.settings.TimeoutSettings
import org.buckthornwheel.testing.FaultProxy
import org.buckthornwheel.testing.LocalEstate
import org.buckthornwheel.testing.Operator
import org.buckthornwheel.testing.awaitUntil
import org.buckthornwheel.testing.estateLayout
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures the network traffic of one idle host with the platform and with one target. */
internal class TrafficCommand : CliktCommand(name = "traffic") {
    private data class Traffic(val accounts: Int, val platformBytes: Double, val targetBytes: Double)

    override fun run(): Unit = runBlocking {
        val page = MeasuredPage(
            name = "traffic",
            command = "./bench traffic",
            notes = listOf(
                "One real daemon without requests, one target, and the platform's stand-in, each behind a proxy that " +
                    "counts the bytes of both directions (HTTP headers included, TCP and IP headers not) over $WINDOW.",
            ),
        )
        val measured = ACCOUNTS.map { measure(it) }
        val slope = Slope(
            figure = "bytes a second with the platform",
            size = "accounts",
            designSize = EstateSize.DESIGN_ACCOUNTS,
            points = measured.map { Point(it.accounts.toDouble(), it.platformBytes) },
        )
        page.write(listOf(table(measured), slopeTable("The platform's part", listOf(slope))))
    }

    private fun table(measured: List<Traffic>): MarkdownTable = MarkdownTable(
        title = "Bytes a second of one idle host",
        columns = listOf("accounts", "with the platform", "with one target of the own zone"),
        rows = measured.map { rowOf(it.accounts.toString(), it.platformBytes.format(0), it.targetBytes.format(0)) },
    )

    private suspend fun measure(accounts: Int): Traffic = LocalEstate.of(layout(accounts)).use { estate ->
        FaultProxy(estate.platform).use { platform ->
            FaultProxy(estate.engines.first().address).use { target -> count(estate, platform, target) }
        }
    }

    private fun layout(accounts: Int) = estateLayout {
        timeouts = TimeoutSettings()
        zone("salish-south-a", "salish-south", hosts = 1, engines = 1, services = 0)
        repeat(accounts) { account("account-$it", "token-of-account-$it", "salish-south") }
    }

    private suspend fun count(estate: LocalEstate, platform: FaultProxy, target: FaultProxy): Traffic {
        val host = estate.hosts.first()
        estate.platformAddressOf = { platform.address }
        estate.addressOf = { target.address }
        estate.startStandIns()
        estate.startHost(host)
        Operator().use { operator ->
            awaitUntil("the note is accepted") { operator.submit(host, estate.firstNote()).accepted }
            awaitUntil("the host is ready") { operator.isReady(host) }
        }
        delay(SETTLE)
        val before = listOf(platform, target).map { it.transferredBytes() }
        delay(WINDOW)
        val (withPlatform, withTarget) = listOf(platform, target).zip(before) { proxy, start ->
            (proxy.transferredBytes() - start) / WINDOW.toDouble(DurationUnit.SECONDS)
        }
        return Traffic(estate.layout.accounts.size, withPlatform, withTarget)
    }

    private fun FaultProxy.transferredBytes(): Long = bytesToTarget.get() + bytesFromTarget.get()

    private companion object {
        val ACCOUNTS = listOf(10, 500, 1_000, 2_000)
        val SETTLE = 2.seconds
        val WINDOW = 15.seconds
    }
}
