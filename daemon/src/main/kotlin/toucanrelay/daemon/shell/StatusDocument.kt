package toucanrelay.daemon.shell

import kotlinx.serialization.Serializable

/**
 * Response body of `GET /status`.
 *
 * @property instanceId ID of the instance.
 * @property incarnation incarnation number of this run of the process.
 * @property role `entry` or `agent`.
 * @property region region of the instance.
 * @property failureDomain failure domain of the instance.
 * @property targetId ID of the target that an agent serves; null on an entry.
 * @property ready whether the process is ready for requests.
 * @property stopping whether the process is shutting down.
 * @property bundleVersion version of the bundle in force; null if no bundle is in force.
 * @property heldBundleVersion version of the held bundle, in force or not; null if no bundle is held.
 * @property knownInstances number of known instances of the fleet.
 */
@Serializable
public data class StatusDocument(
    public val instanceId: String,
    public val incarnation: Long,
    public val role: String,
    public val region: String,
    public val failureDomain: String,
    public val targetId: String? = null,
    public val ready: Boolean,
    public val stopping: Boolean,
    public val bundleVersion: Long? = null,
    public val heldBundleVersion: Long? = null,
    public val knownInstances: Int,
)

/**
 * Problem details (RFC 9457) returned at the operators' port.
 *
 * @property type stable URI reference that identifies the problem type.
 * @property title summary of the problem type.
 * @property status HTTP status code.
 * @property detail description of this occurrence of the problem.
 */
@Serializable
public data class OperatorsProblem(
    public val type: String,
    public val title: String,
    public val status: Int,
    public val detail: String,
)
