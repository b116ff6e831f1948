/*
 * Formatting of figures in tables.
 */

package org.buckthornwheel.measurement.report

import java.util.Locale

/** Formats this figure with the given number of [decimals], or as `not measured` if there is none. */
public fun Double?.format(decimals: Int = 2): String =
    if (this == null || isNaN()) NOT_MEASURED else String.format(Locale.ROOT, "%,.${decimals}f", this)

/** The median of these figures; NaN if there are none. */
public fun List<Double>.median(): Double {
    if (isEmpty()) return Double.NaN
    val sorted = sorted()
    val middle = sorted.size / 2
    return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
}

/** Formats the median, the minimum and the maximum of these figures, each with the given number of [decimals]. */
public fun List<Double>.medianWithRange(decimals: Int = 2): String = if (isEmpty()) {
    NOT_MEASURED
} else {
    "${median().format(decimals)} (${min().format(decimals)} to ${max().format(decimals)})"
}

private const val NOT_MEASURED = "not measured"
