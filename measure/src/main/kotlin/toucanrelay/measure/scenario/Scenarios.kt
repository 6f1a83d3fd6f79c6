package toucanrelay.measure.scenario

/** All scenarios by name. */
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

    /** The scenarios that [name] asks for; empty when there is none. */
    public fun named(name: String): List<Scenario> = if (name == "all") all else all.filter { it.name == name }
}
