package toucanrelay.measure.scenario

import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings

/** An experiment on real daemons and stand-ins. */
public interface Scenario {
    /** Name on the command line. */
    public val name: String

    /** What it measures, in one line. */
    public val description: String

    /** Runs the experiment. */
    public suspend fun run(settings: ScenarioSettings): ScenarioResult
}
