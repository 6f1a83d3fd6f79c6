package toucanrelay.measure.scenario

/** Registry of the scenarios. */
public object Scenarios {
    /** The scenarios in the order in which `all` runs them. */
    public val all: List<Scenario> =
        listOf(
            FairnessScenario,
            UtilisationScenario,
            ColdStartScenario,
            ControlTrafficScenario,
            FailureDomainMoveScenario,
            BundleScenario,
            LeavingScenario,
            StoreOutageScenario,
            OverheadScenario,
        )

    /** Returns the scenario called [name], or every scenario for `all`; empty if none matches. */
    public fun named(name: String): List<Scenario> = if (name == "all") all else all.filter { it.name == name }
}
