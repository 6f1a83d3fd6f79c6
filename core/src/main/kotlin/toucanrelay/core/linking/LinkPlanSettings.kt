package toucanrelay.core.linking

/**
 * Numbers of links that entries and agents keep.
 *
 * @property linksPerPool average number of agents of one pool to which an entry links.
 * @property minEntriesPerAgent minimum number of entries that link to each agent, as far as there are that many.
 * @property maxEntriesPerAgent maximum number of entries that an agent itself selects.
 * @property minLinksPerPool minimum number of agents of one pool to which each entry links, as far as there are that
 * many.
 */
public data class LinkPlanSettings(
    public val linksPerPool: Int = 8,
    public val minEntriesPerAgent: Int = 3,
    public val maxEntriesPerAgent: Int = 64,
    public val minLinksPerPool: Int = 2,
) {
    init {
        require(linksPerPool >= 1) { "linksPerPool must be at least 1: $linksPerPool" }
        require(minEntriesPerAgent in 1..maxEntriesPerAgent) {
            "minEntriesPerAgent must be from 1 to maxEntriesPerAgent: $this"
        }
    }
}
