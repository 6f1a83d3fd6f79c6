package toucanrelay.daemon.shell

/**
 * The ports that a started daemon is bound to.
 *
 * @property link the port for the system's own processes.
 * @property operators the port for metrics, health and operators.
 * @property callers the port that faces callers; null for an agent.
 */
public data class BoundPorts(
    public val link: Int,
    public val operators: Int,
    public val callers: Int?,
)
