package org.buckthornwheel.measurement.control

import org.buckthornwheel.measurement.fit.LinearFit
import org.buckthornwheel.measurement.fit.Point
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.format
import org.buckthornwheel.measurement.report.rowOf

/**
 * Measured growth of one figure with one size.
 *
 * @property figure name of the measured quantity, with its unit.
 * @property size name of the varied quantity.
 * @property designSize the size that the project is designed for.
 */
public data class Slope(
    public val figure: String,
    public val size: String,
    public val designSize: Int,
    public val points: List<Point>,
) {
    /** Least-squares line through the points. */
    public val fit: LinearFit by lazy { LinearFit.of(points) }

    /** Value of the line at the design size. */
    public val atDesignSize: Double get() = fit.at(designSize.toDouble())
}

/** Table with the [title] and a row for each of the [slopes]. */
public fun slopeTable(title: String, slopes: List<Slope>): MarkdownTable = MarkdownTable(
    title = title,
    columns = listOf(
        "figure",
        "grows with",
        "at 0",
        "for each one more",
        "± standard error",
        "R²",
        "design size",
        "line at design size",
        "measured at",
    ),
    rows = slopes.map(::row),
)

private fun row(slope: Slope): TableRow = rowOf(
    slope.figure,
    slope.size,
    slope.fit.intercept.format(1),
    slope.fit.slope.format(decimals = 3),
    slope.fit.slopeError.format(decimals = 3),
    slope.fit.rSquared.format(decimals = 3),
    slope.designSize.toString(),
    slope.atDesignSize.format(1),
    slope.points.joinToString { "${it.size.toInt()}: ${it.figure.format(1)}" },
)
