package toucanrelay.standins

/**
 * How a [ModelEngine] behaves.
 *
 * @property host IP number to listen on.
 * @property port port to listen on; 0 for any free one.
 * @property models models, and adapters as `model+adapter`, that are loaded at the start.
 * @property slots requests that generate at once.
 * @property timing how fast tokens come.
 * @property coldStart what it bears when freshly started.
 * @property prefixCache how it remembers prompts.
 * @property loadLagMilliseconds time between two load reports; a report is that old at most.
 * @property checksFencing whether model orders with an old fencing number are refused.
 * @property resumeGraceMilliseconds time that a stream without a reader goes on, and that a finished one is kept.
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
 * How fast an engine computes.
 *
 * @property stepMilliseconds time in which a batch generates one token for each of its requests, without the part
 *   that grows with the batch.
 * @property stepMillisecondsPerRequest what each request of the batch adds to a step.
 * @property firstTokenMilliseconds time to the first token of a request whose whole prompt is cached.
 * @property promptMillisecondsPerToken what each prompt token that is not cached adds to the first token.
 */
public data class EngineTiming(
    public val stepMilliseconds: Double = 5.0,
    public val stepMillisecondsPerRequest: Double = 0.5,
    public val firstTokenMilliseconds: Double = 10.0,
    public val promptMillisecondsPerToken: Double = 0.05,
) {
    /** Time of one step of a batch of [requests]. */
    public fun stepMilliseconds(requests: Int): Double = stepMilliseconds + stepMillisecondsPerRequest * requests
}

/**
 * What a freshly started engine bears; one request more makes it fail and start anew.
 *
 * @property startsCold whether the engine is cold when it starts.
 * @property requests requests that a cold engine bears at once, running and waiting.
 * @property completions completions after which it is warm.
 * @property warmUpMilliseconds time after which it is warm whatever it completed.
 * @property slowdown by how much a cold engine computes slower.
 * @property losesStreams whether the streams that run are lost when it fails.
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
 * How an engine caches prompts, by [promptPrefixHash].
 *
 * @property entries prefixes that it holds; the least recently used goes first.
 * @property eventLagMilliseconds time until a change is published.
 * @property eventGapEvery every n-th change is never published; 0 when all are.
 * @property eventsKept changes that can still be asked for.
 */
public data class PrefixCacheSettings(
    public val entries: Int = 64,
    public val eventLagMilliseconds: Long = 200,
    public val eventGapEvery: Int = 0,
    public val eventsKept: Int = 1_024,
)
