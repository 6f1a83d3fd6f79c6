package toucanrelay.core.fairness

/**
 * Time constants of fair queueing across the fleet.
 *
 * @property settlingMilliseconds time for a backlog change to propagate over the exchange tree; the system virtual time
 * rises only to a minimum that held for this long.
 * @property rejoinCreditMilliseconds growth of the system virtual time by which an organisation may lag behind when two
 * partitions of the fleet rejoin.
 * @property lagLimitMilliseconds growth of the leading organisation's virtual time by which a backlogged organisation
 * may lag behind it, for organisations that wait for different targets.
 */
public data class FairnessSettings(
    public val settlingMilliseconds: Long = 3_000,
    public val rejoinCreditMilliseconds: Long = 10_000,
    public val lagLimitMilliseconds: Long = 120_000,
)
