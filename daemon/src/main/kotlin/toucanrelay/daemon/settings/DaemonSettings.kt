package toucanrelay.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Settings of one daemon, as they stand in its JSON file.
 *
 * @property instanceId name of the instance on the platform's list.
 * @property region region of the instance.
 * @property failureDomain failure domain of the instance.
 * @property link address of the port to which the system's own processes connect.
 * @property operators address of the port for metrics, health and operators.
 * @property platformUrl base URL of the platform's services.
 * @property operatorKeys public keys of the operators who may sign bundles.
 * @property shutdownLimitMilliseconds time that work in hand has to end after SIGTERM.
 * @property entry settings of the role `entry`; exactly one of [entry] and [agent] is given.
 * @property agent settings of the role `agent`.
 */
@Serializable
public data class DaemonSettings(
    public val instanceId: String,
    public val region: String,
    public val failureDomain: String,
    public val link: ListenAddress,
    public val operators: ListenAddress,
    public val platformUrl: String,
    public val operatorKeys: List<OperatorKey>,
    public val shutdownLimitMilliseconds: Long = 30_000,
    public val entry: EntrySettings? = null,
    public val agent: AgentSettings? = null,
)

/**
 * Where a server listens.
 *
 * @property host IP number.
 * @property port port; 0 for any free one.
 */
@Serializable
public data class ListenAddress(
    public val host: String,
    public val port: Int,
)

/**
 * A public key whose signatures on bundles the daemon accepts.
 *
 * @property id name of the key, as it stands beside a signature.
 * @property ed25519PublicKey X.509 encoding in base 64.
 */
@Serializable
public data class OperatorKey(
    public val id: String,
    @SerialName("ed25519PublicKeyBase64")
    public val ed25519PublicKey: String,
)

/**
 * Settings of the role `entry`.
 *
 * @property callers address of the port that faces callers.
 * @property requestTimeoutMilliseconds time after which a request without an answer is given up.
 * @property linksPerPool agents to which the entry keeps links, for each pool.
 * @property linkBudgetBytesPerSecond bytes that the entry may send over links to other regions.
 * @property notReadyNoticeMilliseconds time between the announcement at `/readyz` that the entry stops and the moment
 *   at which it takes no new requests.
 */
@Serializable
public data class EntrySettings(
    public val callers: ListenAddress,
    public val requestTimeoutMilliseconds: Long = 300_000,
    public val linksPerPool: Int = 8,
    public val linkBudgetBytesPerSecond: Long = 250_000,
    public val notReadyNoticeMilliseconds: Long = 2_000,
)

/**
 * Settings of the role `agent`.
 *
 * @property targetId the target's name in the bundle.
 * @property targetUrl base URL of the target.
 * @property resumeWindowMilliseconds time for which an answer can be resumed after its link broke.
 */
@Serializable
public data class AgentSettings(
    public val targetId: String,
    public val targetUrl: String,
    public val resumeWindowMilliseconds: Long = 10_000,
)
