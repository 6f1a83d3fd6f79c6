package toucanrelay.daemon.shell

import kotlinx.serialization.Serializable

/**
 * Answer to `GET /status`.
 *
 * @property instanceId name of the instance.
 * @property incarnation number of the process's run.
 * @property role `entry` or `agent`.
 * @property region region of the instance.
 * @property failureDomain failure domain of the instance.
 * @property targetId the target beside an agent.
 * @property ready whether callers and peers may send work.
 * @property stopping whether the process is shutting down.
 * @property bundleVersion version of the bundle in force; null when there is none.
 * @property heldBundleVersion version that the process holds, in force or not; null when there is none.
 * @property knownInstances instances that the process knows.
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
 * Problem document (RFC 9457) of the operators' port.
 *
 * @property type stable name of the problem.
 * @property title what is wrong in general.
 * @property status the HTTP status.
 * @property detail what is wrong with this call.
 */
@Serializable
public data class OperatorsProblem(
    public val type: String,
    public val title: String,
    public val status: Int,
    public val detail: String,
)
