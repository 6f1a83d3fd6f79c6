package toucanrelay.daemon.entry

import toucanrelay.core.liveness.HeartbeatSettings

/**
 * Timeouts, rates and sizes of an entry that are not in the operators' settings.
 *
 * @property ordering how organisations with waiting requests are ordered.
 * @property heartbeat heartbeats on links to agents.
 * @property demandIntervalMilliseconds minimum time between two demand reports on one link.
 * @property demandRefreshMilliseconds minimum time between demand reports that only refresh figures.
 * @property demandBytesPerSecond rate of demand reports on all links above which those that only refresh are delayed.
 * @property maxDemandOrganisations maximum number of organisations in a demand report for each pool.
 * @property reconnectGraceMilliseconds time after a link was added or broke for which its target counts as available.
 * @property resumeLimitMilliseconds maximum time to wait for a new connection over which to resume an answer.
 * @property bodyTimeoutMilliseconds time within which a caller has to send the whole body.
 * @property notReadyNoticeMilliseconds time between reporting not ready and refusing new requests.
 * @property maxBufferedBodyBytes limit on the total size of request bodies in memory.
 */
public data class EntryTuning(
    public val ordering: EntryOrdering = EntryOrdering.FLEET_VIRTUAL_TIME,
    public val heartbeat: HeartbeatSettings = HeartbeatSettings(),
    public val demandIntervalMilliseconds: Long = 20,
    public val demandRefreshMilliseconds: Long = 250,
    public val demandBytesPerSecond: Double = 2_000.0,
    public val maxDemandOrganisations: Int = 4,
    public val reconnectGraceMilliseconds: Long = 2_000,
    public val resumeLimitMilliseconds: Long = 8_000,
    public val bodyTimeoutMilliseconds: Long = 10_000,
    public val notReadyNoticeMilliseconds: Long = 2_000,
    public val maxBufferedBodyBytes: Long = 33_554_432,
)
