package toucanrelay.core.identity

/** Identifies an organisation of the bundle. */
@JvmInline
public value class OrganisationId(
    public val value: String,
) : Comparable<OrganisationId> {
    override fun compareTo(other: OrganisationId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a target: one model engine or one instance of a plain service. */
@JvmInline
public value class TargetId(
    public val value: String,
) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies an instance on which one process of the system runs. */
@JvmInline
public value class InstanceId(
    public val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a failure domain: instances that can fail or be taken out of service together. */
@JvmInline
public value class FailureDomainId(
    public val value: String,
) : Comparable<FailureDomainId> {
    override fun compareTo(other: FailureDomainId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a region: failure domains connected by fast links; traffic between regions is billed by volume. */
@JvmInline
public value class RegionId(
    public val value: String,
) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a caller's request, uniquely across the fleet. */
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Number of a process run; a later run of the same process has a higher number. */
@JvmInline
public value class Incarnation(
    public val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Version of the software that a target runs; versions have no order. */
@JvmInline
public value class SoftwareVersion(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        /** Version of the targets that report none, which are taken to run the same software. */
        public val UNREPORTED: SoftwareVersion = SoftwareVersion("")
    }
}

/** Identifies one run of the process on one instance. */
public data class ProcessRun(
    public val instance: InstanceId,
    public val incarnation: Incarnation,
)
