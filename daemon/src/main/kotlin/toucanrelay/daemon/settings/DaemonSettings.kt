package toucanrelay.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Settings of one daemon; property names are the keys of the JSON file unless annotated.
 *
 * @property instanceId ID of the instance in the platform's instance list.
 * @property region region of the instance.
 * @property failureDomain failure domain of the instance.
 * @property link address of the gRPC port to which other daemons connect.
 * @property operators address of the HTTP port for metrics, health checks and operators.
 * @property platformUrl base URL of the platform.
 * @property operatorKeys public keys of the operators who may sign bundles.
 * @property shutdownLimitMilliseconds maximum time in milliseconds to drain running requests after SIGTERM.
 * @property entry settings of the role `entry`; exactly one of [entry] and [agent] is set.
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
 * Address that a server binds.
 *
 * @property host IPv4 or IPv6 address.
 * @property port TCP port; 0 lets the operating system choose a free port.
 */
@Serializable
public data class ListenAddress(
    public val host: String,
    public val port: Int,
)

/**
 * Public key of an operator; the daemon accepts bundles signed with its private key.
 *
 * @property id ID of the key, stored next to each signature.
 * @property ed25519PublicKey X.509 encoding of the key, in base 64.
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
 * @property callers address of the HTTP port for callers.
 * @property requestTimeoutMilliseconds time in milliseconds after which a request without a complete answer is
 *   cancelled.
 * @property linksPerPool number of agents to which the entry keeps links, per pool.
 * @property linkBudgetBytesPerSecond maximum bytes per second that the entry sends over links to other regions.
 * @property notReadyNoticeMilliseconds time in milliseconds for which a stopping entry still accepts requests after
 *   `/readyz` reports that it is not ready.
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
 * @property targetId ID of the target in the bundle.
 * @property targetUrl base URL of the target.
 * @property resumeWindowMilliseconds time in milliseconds for which an answer can be resumed after its link broke.
 */
@Serializable
public data class AgentSettings(
    public val targetId: String,
    public val targetUrl: String,
    public val resumeWindowMilliseconds: Long = 10_000,
)
