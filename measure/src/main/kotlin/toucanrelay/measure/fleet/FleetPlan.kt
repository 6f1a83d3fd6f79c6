package toucanrelay.measure.fleet

/**
 * Layout of a fleet to measure.
 *
 * @property failureDomains the failure domains, each in its region.
 * @property organisations the organisations that share the fleet.
 * @property entries the entries.
 * @property models the model engines.
 * @property services the plain services.
 * @property countsLinkBytes whether links pass through byte-counting forwarders, which add latency to every answer.
 */
public data class FleetPlan(
    public val failureDomains: List<FailureDomainPlan>,
    public val organisations: List<OrganisationPlan>,
    public val entries: List<EntryPlan>,
    public val models: List<ModelTargetPlan>,
    public val services: List<ServiceTargetPlan>,
    public val countsLinkBytes: Boolean = true,
) {
    /** Total slots of all model engines. */
    public val modelSlots: Int
        get() = models.sumOf { it.slots }
}

/** A failure domain and its region. */
public data class FailureDomainPlan(
    public val name: String,
    public val region: String,
)

/**
 * An organisation.
 *
 * @property name its name.
 * @property share its share.
 * @property key its bearer key.
 * @property waitingRequests maximum number of requests that wait at one entry, and that are in flight.
 */
public data class OrganisationPlan(
    public val name: String,
    public val share: Double,
    public val key: String = "key-of-$name",
    public val waitingRequests: Int = 1_000,
)

/** An entry and the failure domain it runs in. */
public data class EntryPlan(
    public val name: String,
    public val failureDomain: FailureDomainPlan,
)

/**
 * A model engine with the agent beside it.
 *
 * @property name name of the target.
 * @property failureDomain where it runs.
 * @property model the model it serves.
 * @property slots maximum number of concurrent requests.
 * @property coldSlots maximum number of concurrent requests while the engine is cold.
 * @property startsCold whether the engine is cold when it starts.
 * @property stepMilliseconds fixed part of the duration of one generation step.
 * @property stepMillisecondsPerRequest time that each request in the batch adds to a step.
 */
public data class ModelTargetPlan(
    public val name: String,
    public val failureDomain: FailureDomainPlan,
    public val model: String,
    public val slots: Int,
    public val coldSlots: Int,
    public val startsCold: Boolean,
    public val stepMilliseconds: Double,
    public val stepMillisecondsPerRequest: Double,
)

/**
 * An instance of a plain service with the agent beside it.
 *
 * @property name name of the target.
 * @property failureDomain where it runs.
 * @property service name of the service.
 * @property slots maximum number of concurrent calls.
 */
public data class ServiceTargetPlan(
    public val name: String,
    public val failureDomain: FailureDomainPlan,
    public val service: String,
    public val slots: Int,
)
