package toucanrelay.standins

/**
 * Settings of a [ModelEngine].
 *
 * @property host IP address to listen on.
 * @property port port to listen on; 0 picks a free port.
 * @property models models loaded at the start, with adapters written as `model+adapter`.
 * @property slots number of requests processed concurrently.
 * @property timing speed of token generation.
 * @property coldStart behaviour after a start.
 * @property prefixCache caching of prompt prefixes.
 * @property loadLagMilliseconds interval between two load reports and thus the maximum age of a report.
 * @property checksFencing whether model orders with an old fencing number are rejected.
 * @property resumeGraceMilliseconds how long a stream without a reader continues, and how long a finished
 *   stream is kept.
 */
public data class EngineSettings(
    public val host: String = "127.0.0.1",
    public val port: Int = 0,
    public val models: List<String> = listOf("advice"),
    public val slots: Int = 8,
    public val timing: EngineTiming = EngineTiming(),
    public val coldStart: ColdStart = ColdStart(),
    public val prefixCache: PrefixCacheSettings = PrefixCacheSettings(),
    public val loadLagMilliseconds: Long = 500,
    public val checksFencing: Boolean = true,
    public val resumeGraceMilliseconds: Long = 30_000,
)

/**
 * Speed at which an engine generates tokens.
 *
 * @property stepMilliseconds fixed part of the time in which a batch generates one token for each of its requests.
 * @property stepMillisecondsPerRequest time that each request in the batch adds to a step.
 * @property firstTokenMilliseconds time to the first token of a request whose whole prompt is cached.
 * @property promptMillisecondsPerToken time that each uncached prompt token adds to the time to the first token.
 */
public data class EngineTiming(
    public val stepMilliseconds: Double = 5.0,
    public val stepMillisecondsPerRequest: Double = 0.5,
    public val firstTokenMilliseconds: Double = 10.0,
    public val promptMillisecondsPerToken: Double = 0.05,
) {
    /** Returns the time of one step, in milliseconds, for a batch of [requests]. */
    public fun stepMilliseconds(requests: Int): Double = stepMilliseconds + stepMillisecondsPerRequest * requests
}

/**
 * Behaviour of a cold engine: a request beyond its limit makes it fail and restart.
 *
 * @property startsCold whether the engine is cold when it starts.
 * @property requests maximum number of requests, running and waiting, while the engine is cold.
 * @property completions number of completed requests after which the engine is warm.
 * @property warmUpMilliseconds time after which the engine is warm regardless of completions.
 * @property slowdown factor by which a cold engine is slower.
 * @property losesStreams whether streams in progress are lost when the engine fails.
 */
public data class ColdStart(
    public val startsCold: Boolean = false,
    public val requests: Int = 2,
    public val completions: Int = 8,
    public val warmUpMilliseconds: Long = 30_000,
    public val slowdown: Double = 1.5,
    public val losesStreams: Boolean = true,
)

/**
 * Settings of an engine's prompt cache, which is keyed by [promptPrefixHash].
 *
 * @property entries capacity in prefixes; the least recently used one is evicted first.
 * @property eventLagMilliseconds delay after which a change is published.
 * @property eventGapEvery every n-th change is not published; 0 publishes all changes.
 * @property eventsKept number of most recent changes that can be read.
 */
public data class PrefixCacheSettings(
    public val entries: Int = 64,
    public val eventLagMilliseconds: Long = 200,
    public val eventGapEvery: Int = 0,
    public val eventsKept: Int = 1_024,
)
