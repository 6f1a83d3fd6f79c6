package toucanrelay.measure.scenario

import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

/** A measurement on a fleet of real daemons with stand-ins for engines, services and the platform. */
public interface Scenario {
    /** Name on the command line. */
    public val name: String

    /** One-line summary of what the scenario measures. */
    public val description: String

    /** Runs the scenario and returns its figures. */
    public suspend fun run(settings: ScenarioSettings): ScenarioResult
}
