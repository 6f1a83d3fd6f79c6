package toucanrelay.core.linking

/**
 * How many links entries and agents keep.
 *
 * @property linksPerPool agents of one pool to which an entry links, on average.
 * @property leastEntriesPerAgent entries that link to each agent, at least, while there are as many.
 * @property mostEntriesPerAgent entries that an agent itself draws, at most.
 * @property leastLinksPerPool agents of one pool to which each entry links, at least, while there are as many.
 */
public data class LinkTerms(
    public val linksPerPool: Int = 8,
    public val leastEntriesPerAgent: Int = 3,
    public val mostEntriesPerAgent: Int = 64,
    public val leastLinksPerPool: Int = 2,
) {
    init {
        require(linksPerPool >= 1) { "an entry needs a link for each pool: $linksPerPool" }
        require(leastEntriesPerAgent in 1..mostEntriesPerAgent) { "least above most: $this" }
    }
}
