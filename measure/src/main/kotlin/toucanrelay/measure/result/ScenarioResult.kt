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
 * Linear growth of a figure with a size of the fleet or load.
 *
 * @property figure name of the figure.
 * @property size name of the size.
 * @property perUnit growth of the figure for each unit of the size.
 * @property intercept value of the fitted line at size zero.
 * @property unit unit of the figure.
 * @property points measurements that the line is fitted to.
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

/** The value of a figure measured at one size. */
@Serializable
public data class SlopePoint(
    public val size: Double,
    public val value: Double,
)

/**
 * Parameters of a scenario.
 *
 * @property seed random seed for arrivals and requests.
 * @property seconds duration of the load.
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
 * Result of a scenario.
 *
 * @property scenario name of the scenario.
 * @property settings parameters of the run.
 * @property figures measured values.
 * @property slopes how figures grow with a size; empty when the scenario ran at one size.
 * @property target description of the target that the figures should meet.
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
    /** Returns the result as JSON. */
    public fun toJson(): String = json.encodeToString(serializer(), this)

    private companion object {
        private val json =
            Json {
                encodeDefaults = true
                prettyPrint = true
            }
    }
}
