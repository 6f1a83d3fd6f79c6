package toucanrelay.measure.fleet

/**
 * A fleet to measure.
 *
 * @property failureDomains the failure domains, each in its region.
 * @property organisations the organisations that share the fleet.
 * @property entries the entries.
 * @property models the model engines.
 * @property services the plain services.
 * @property countsLinkBytes whether links go through forwarders that count bytes, which adds to every answer's latency.
 */
public data class FleetPlan(
    public val failureDomains: List<FailureDomainPlan>,
    public val organisations: List<OrganisationPlan>,
    public val entries: List<EntryPlan>,
    public val models: List<ModelTargetPlan>,
    public val services: List<ServiceTargetPlan>,
    public val countsLinkBytes: Boolean = true,
) {
    /** Slots of all model engines. */
    public val modelSlots: Int
        get() = models.sumOf { it.slots }
}

/** A failure domain and the region it lies in. */
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
 * @property waitingRequests requests that it may have waiting at one entry.
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
 * @property slots requests it bears at once.
 * @property coldSlots requests it bears when freshly started.
 * @property startsCold whether it is freshly started.
 * @property stepMilliseconds time of one step of an almost empty batch.
 * @property stepMillisecondsPerRequest what each request of the batch adds to a step.
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
 * @property service the service it runs.
 * @property slots calls it bears at once.
 */
public data class ServiceTargetPlan(
    public val name: String,
    public val failureDomain: FailureDomainPlan,
    public val service: String,
    public val slots: Int,
)
