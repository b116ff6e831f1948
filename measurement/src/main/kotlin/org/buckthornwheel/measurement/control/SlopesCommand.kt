package org.buckthornwheel.measurement.control

import com.github.ajalt.clikt.core.CliktCommand
import org.buckthornwheel.measurement.report.MeasuredPage

/** Measures how control state, messages and processor time grow, using the aggregates and codecs in isolation. */
internal class SlopesCommand : CliktCommand(name = "slopes") {
    override fun run() {
        val page = MeasuredPage(
            name = "slopes",
            command = "./bench slopes",
            notes = listOf(
                "The real aggregates and codecs at several sizes, inside one process; lines by least squares. " +
                    "Memory is what a collection leaves; processor time is the thread's own, best of five rounds.",
            ),
        )
        page.write(listOf(slopeTable("Configuration and targets", EstateSlopes.all()), MessageSizes.table()))
    }
}
