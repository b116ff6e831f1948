package org.buckthornwheel.measurement.fit

import org.apache.commons.math3.stat.regression.SimpleRegression

/** A measured point: a size and the figure measured at that size. */
public data class Point(public val size: Double, public val figure: Double)

/**
 * A least-squares line through measured points, with the standard error of its slope.
 *
 * @property intercept value of the line at size zero.
 * @property slope increase of the figure per unit of size.
 * @property slopeError standard error of [slope].
 * @property rSquared coefficient of determination (R²), the fraction of the variance that the line explains; 1 is a
 *   perfect fit.
 */
public data class LinearFit(
    public val intercept: Double,
    public val slope: Double,
    public val slopeError: Double,
    public val rSquared: Double,
) {
    /** Value of the line at [size]. */
    public fun at(size: Double): Double = intercept + slope * size

    /** Creates fits. */
    public companion object {
        private const val MINIMUM_POINTS = 3

        /** Fits a line to [points]; at least three are required. */
        public fun of(points: List<Point>): LinearFit {
            require(points.size >= MINIMUM_POINTS) {
                "a standard error needs at least $MINIMUM_POINTS points"
            }
            val regression = SimpleRegression()
            points.forEach { regression.addData(it.size, it.figure) }
            return LinearFit(regression.intercept, regression.slope, regression.slopeStdErr, regression.rSquare)
        }
    }
}
