/*
 * Command line of the measurements: microbenchmarks of the decision functions and load tests of the real processes.
 *
 * Every measurement writes its tables to `docs/measured/`, so that a page can name the command that produced them.
 */

package org.buckthornwheel.measurement

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import org.buckthornwheel.measurement.bench.DecisionsCommand
import org.buckthornwheel.measurement.control.ProcessesCommand
import org.buckthornwheel.measurement.control.SlopesCommand
import org.buckthornwheel.measurement.control.TrafficCommand
import org.buckthornwheel.measurement.load.LatencyCommand
import org.buckthornwheel.measurement.load.SaturationCommand
import org.buckthornwheel.measurement.load.ThroughputCommand
import org.buckthornwheel.measurement.policy.PoliciesCommand
import org.buckthornwheel.measurement.spread.SpreadCommand

private class MeasurementCommand : CliktCommand(name = "bench") {
    override fun run(): Unit = Unit
}

/** Entry point; the first argument names the measurement. */
public fun main(arguments: Array<String>): Unit = MeasurementCommand()
    .subcommands(
        DecisionsCommand(),
        LatencyCommand(),
        ThroughputCommand(),
        SaturationCommand(),
        SlopesCommand(),
        ProcessesCommand(),
        TrafficCommand(),
        PoliciesCommand(),
        SpreadCommand(),
    )
    .main(arguments)
