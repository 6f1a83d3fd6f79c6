package toucanrelay.measure.result

/**
 * Fits a line to [points] by least squares.
 *
 * @param figure name of the figure.
 * @param size name of the size.
 * @param unit unit of the figure.
 * @throws IllegalArgumentException for fewer than two distinct sizes.
 */
internal fun fitSlope(
    figure: String,
    size: String,
    unit: String,
    points: List<SlopePoint>,
): Slope {
    require(points.distinctBy { it.size }.size >= 2) { "a slope needs at least two distinct sizes" }
    val meanSize = points.map { it.size }.average()
    val meanValue = points.map { it.value }.average()
    val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
    val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
    val perUnit = covariance / variance
    return Slope(figure, size, perUnit, meanValue - perUnit * meanSize, unit, points)
}
