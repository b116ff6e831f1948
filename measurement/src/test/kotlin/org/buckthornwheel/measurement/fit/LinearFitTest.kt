package org.buckthornwheel.measurement.fit

import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFailure
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class LinearFitTest {
    @Test
    fun `points on a line give that line with a standard error of zero`() {
        val fit = LinearFit.of(listOf(Point(1.0, 5.0), Point(2.0, 7.0), Point(4.0, 11.0)))
        expectThat(fit.slope).isEqualTo(2.0, TOLERANCE)
        expectThat(fit.intercept).isEqualTo(3.0, TOLERANCE)
        expectThat(fit.rSquared).isEqualTo(1.0, TOLERANCE)
        expectThat(fit.slopeError).isEqualTo(0.0, TOLERANCE)
        expectThat(fit.at(10.0)).isEqualTo(23.0, TOLERANCE)
    }

    @Test
    fun `points off the line give a positive standard error and a lower R²`() {
        val fit = LinearFit.of(listOf(Point(1.0, 5.0), Point(2.0, 9.0), Point(3.0, 8.0), Point(4.0, 13.0)))
        expectThat(fit.slopeError).isGreaterThan(0.1)
        expectThat(fit.rSquared).isLessThan(0.95)
    }

    @Test
    fun `two points are rejected because they give no standard error`() {
        expectCatching { LinearFit.of(listOf(Point(1.0, 1.0), Point(2.0, 2.0))) }.isFailure()
    }

    private companion object {
        const val TOLERANCE = 1e-9
    }
}
