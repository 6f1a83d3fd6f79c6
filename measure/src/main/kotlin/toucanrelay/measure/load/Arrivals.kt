package toucanrelay.measure.load

/** When an organisation's requests come. */
public sealed interface Arrivals {
    /**
     * Requests come at random, whether or not earlier ones were answered.
     *
     * @property requestsPerSecond mean rate of a Poisson process.
     * @property mostOutstanding requests that are open at once; what would come beyond is counted as dropped.
     */
    public data class Open(
        public val requestsPerSecond: Double,
        public val mostOutstanding: Int = 2_000,
    ) : Arrivals

    /**
     * The organisation stays backlogged: each answer is followed by the next request.
     *
     * @property requests requests that are open at any time.
     */
    public data class Backlogged(
        public val requests: Int,
    ) : Arrivals
}

/**
 * The load of one organisation.
 *
 * @property organisation name of the organisation.
 * @property key its bearer key.
 * @property share its share in the bundle.
 * @property arrivals when requests come.
 * @property mix what they ask for.
 * @property entries indexes of the entries that it sends to; empty for all in turn.
 */
public data class OrganisationLoad(
    public val organisation: String,
    public val key: String,
    public val share: Double,
    public val arrivals: Arrivals,
    public val mix: RequestMix,
    public val entries: List<Int> = emptyList(),
)
