package toucanrelay.daemon.shell

/**
 * Ports that a running daemon is bound to.
 *
 * @property link gRPC port for other daemons.
 * @property operators HTTP port for metrics, health checks and operators.
 * @property callers HTTP port for callers; null for an agent.
 */
public data class BoundPorts(
    public val link: Int,
    public val operators: Int,
    public val callers: Int?,
)
