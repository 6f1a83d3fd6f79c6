package toucanrelay.core.fairness

/**
 * Time constants of fair service over the fleet.
 *
 * @property settlingMilliseconds time that news of a backlog needs to cross the exchange tree; the system virtual time
 * rises only to what held for this long.
 * @property rejoinCreditMilliseconds growth of the system virtual time by which an organisation may lag behind when two
 * parts of the fleet meet again.
 * @property lagLimitMilliseconds growth of the leading organisation's virtual time by which a backlogged organisation
 * may lag behind it, for organisations that wait for different targets.
 */
public data class FairnessTerms(
    public val settlingMilliseconds: Long = 3_000,
    public val rejoinCreditMilliseconds: Long = 10_000,
    public val lagLimitMilliseconds: Long = 120_000,
)
