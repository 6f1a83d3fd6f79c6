package toucanrelay.measure.result

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * A measured value.
 *
 * @property name what was measured.
 * @property value the value.
 * @property unit unit of the value.
 */
@Serializable
public data class Figure(
    public val name: String,
    public val value: Double,
    public val unit: String,
)

/**
 * How a figure grows with a size.
 *
 * @property figure name of the figure.
 * @property size name of the size.
 * @property perUnit growth of the figure for one more of the size.
 * @property intercept value of the fitted line at size zero.
 * @property unit unit of the figure.
 * @property points what the line was fitted to.
 */
@Serializable
public data class Slope(
    public val figure: String,
    public val size: String,
    public val perUnit: Double,
    public val intercept: Double,
    public val unit: String,
    public val points: List<SlopePoint>,
)

/** A figure measured at one size. */
@Serializable
public data class SlopePoint(
    public val size: Double,
    public val value: Double,
)

/**
 * What a scenario ran with.
 *
 * @property seed decides arrivals and requests.
 * @property seconds time under load.
 * @property entries number of entries.
 * @property targets number of targets.
 * @property organisations number of organisations.
 */
@Serializable
public data class ScenarioSettings(
    public val seed: Long = 1,
    public val seconds: Int = 20,
    public val entries: Int = 3,
    public val targets: Int = 6,
    public val organisations: Int = 4,
)

/**
 * What a scenario measured.
 *
 * @property scenario name of the scenario.
 * @property settings what it ran with.
 * @property figures what it measured.
 * @property slopes how figures grow with a size; empty when the scenario ran at one size.
 * @property target what is wanted, in words.
 * @property withinTarget whether the figures meet the target.
 */
@Serializable
public data class ScenarioResult(
    public val scenario: String,
    public val settings: ScenarioSettings,
    public val figures: List<Figure>,
    public val slopes: List<Slope> = emptyList(),
    public val target: String,
    public val withinTarget: Boolean,
) {
    /** The result as JSON for machines. */
    public fun toJson(): String = json.encodeToString(serializer(), this)

    private companion object {
        private val json =
            Json {
                encodeDefaults = true
                prettyPrint = true
            }
    }
}
