package toucanrelay.measure.load

/** The arrival process of an organisation's requests. */
public sealed interface Arrivals {
    /**
     * An open loop: requests arrive as a Poisson process, independent of earlier answers.
     *
     * @property requestsPerSecond mean arrival rate.
     * @property maxOutstanding limit of concurrent requests; an arrival beyond it is counted as dropped.
     */
    public data class OpenLoop(
        public val requestsPerSecond: Double,
        public val maxOutstanding: Int = 2_000,
    ) : Arrivals

    /**
     * A closed loop that keeps the organisation backlogged: the next request follows each answer.
     *
     * @property requests number of concurrent requests.
     */
    public data class ClosedLoop(
        public val requests: Int,
    ) : Arrivals
}

/**
 * The load of one organisation.
 *
 * @property organisation name of the organisation.
 * @property key bearer key of the organisation.
 * @property share share of the organisation in the bundle.
 * @property arrivals arrival process of the requests.
 * @property mix kinds of requests that are sent.
 * @property entries indexes of the entries that receive the requests in turn; empty for all entries.
 */
public data class OrganisationLoad(
    public val organisation: String,
    public val key: String,
    public val share: Double,
    public val arrivals: Arrivals,
    public val mix: RequestMix,
    public val entries: List<Int> = emptyList(),
)
