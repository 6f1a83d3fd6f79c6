package toucanrelay.daemon.entry

import toucanrelay.core.liveness.HeartbeatSettings

/**
 * Times and sizes of an entry that operators need not set.
 *
 * @property ordering by what waiting organisations are ordered.
 * @property heartbeat heartbeats on links to agents.
 * @property demandIntervalMilliseconds least time between two statements of demand on one link.
 * @property demandRefreshMilliseconds least time between statements that only refresh what the agent knows.
 * @property demandBytesPerSecond bytes of demand over all links beyond which statements that only refresh wait.
 * @property demandOrganisations organisations that a statement names at most for each pool.
 * @property reconnectGraceMilliseconds time for which a pool is not given up after its last link broke.
 * @property resumeLimitMilliseconds time for which an entry tries to resume an answer.
 * @property bodyTimeoutMilliseconds time that a caller has to send a body.
 * @property announceMilliseconds time between announcing not ready and refusing new requests.
 * @property maximumBodiesInHandBytes bodies that the entry holds at most at one time.
 */
public data class EntryTerms(
    public val ordering: EntryOrdering = EntryOrdering.FLEET_VIRTUAL_TIME,
    public val heartbeat: HeartbeatSettings = HeartbeatSettings(),
    public val demandIntervalMilliseconds: Long = 20,
    public val demandRefreshMilliseconds: Long = 250,
    public val demandBytesPerSecond: Double = 2_000.0,
    public val demandOrganisations: Int = 4,
    public val reconnectGraceMilliseconds: Long = 2_000,
    public val resumeLimitMilliseconds: Long = 8_000,
    public val bodyTimeoutMilliseconds: Long = 10_000,
    public val announceMilliseconds: Long = 2_000,
    public val maximumBodiesInHandBytes: Long = 33_554_432,
)
