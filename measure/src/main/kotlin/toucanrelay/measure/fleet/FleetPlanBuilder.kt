package toucanrelay.measure.fleet

/** Marks the builders of a [FleetPlan]. */
@DslMarker
public annotation class FleetDsl

/** Builds a [FleetPlan] that assigns entries and targets to the failure domains round-robin. */
public fun fleetPlan(build: FleetPlanBuilder.() -> Unit): FleetPlan = FleetPlanBuilder().apply(build).toPlan()

/** Builder of a [FleetPlan]; regions must be added before entries and targets. */
@FleetDsl
public class FleetPlanBuilder {
    private val failureDomains = mutableListOf<FailureDomainPlan>()
    private val organisations = mutableListOf<OrganisationPlan>()
    private val entries = mutableListOf<EntryPlan>()
    private val models = mutableListOf<ModelTargetPlan>()
    private val services = mutableListOf<ServiceTargetPlan>()

    /** Adds a region with its failure domains. */
    public fun region(name: String, vararg failureDomainNames: String) {
        failureDomains += failureDomainNames.map { FailureDomainPlan(it, name) }
    }

    /** Adds an organisation. */
    public fun organisation(name: String, share: Double = 1.0, waitingRequests: Int = 1_000) {
        organisations += OrganisationPlan(name, share, waitingRequests = waitingRequests)
    }

    /** Adds [count] entries. */
    public fun entries(count: Int) {
        entries += List(count) { EntryPlan("entry-${entries.size + it + 1}", failureDomainAt(it)) }
    }

    /** Adds [count] engines that serve [model]. */
    public fun engines(model: String, count: Int, build: EngineBuilder.() -> Unit = {}) {
        val engine = EngineBuilder().apply(build)
        models +=
            List(count) {
                ModelTargetPlan(
                    name = "$model-${it + 1}",
                    failureDomain = failureDomainAt(it),
                    model = model,
                    slots = engine.slots,
                    coldSlots = engine.coldSlots,
                    startsCold = engine.startsCold,
                    stepMilliseconds = engine.stepMilliseconds,
                    stepMillisecondsPerRequest = engine.stepMillisecondsPerRequest,
                )
            }
    }

    /** Adds [count] instances of the plain service [name]. */
    public fun service(name: String, count: Int, slots: Int = 16) {
        services += List(count) { ServiceTargetPlan("$name-${it + 1}", failureDomainAt(it), name, slots) }
    }

    internal fun toPlan(): FleetPlan {
        require(entries.isNotEmpty()) { "a fleet needs an entry" }
        require(organisations.isNotEmpty()) { "a fleet needs an organisation" }
        return FleetPlan(
            failureDomains.toList(),
            organisations.toList(),
            entries.toList(),
            models.toList(),
            services.toList(),
        )
    }

    private fun failureDomainAt(index: Int): FailureDomainPlan {
        require(failureDomains.isNotEmpty()) { "a region must be added first" }
        return failureDomains[index % failureDomains.size]
    }
}

/** Configures the engines of one model. */
@FleetDsl
public class EngineBuilder {
    /** Maximum number of concurrent requests of an engine. */
    public var slots: Int = 8

    /** Maximum number of concurrent requests while the engine is cold. */
    public var coldSlots: Int = 2

    /** Whether the engine is cold when it starts. */
    public var startsCold: Boolean = false

    /** Fixed part of the duration of one generation step, in milliseconds. */
    public var stepMilliseconds: Double = 5.0

    /** Time that each request in the batch adds to a step, in milliseconds. */
    public var stepMillisecondsPerRequest: Double = 0.5
}
