package toucanrelay.measure.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.DoubleAdder
import java.util.concurrent.atomic.LongAdder

private const val MAX_RECORDED_MICROSECONDS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3

/**
 * Weights that convert tokens to service units, as in the bundle.
 *
 * @property promptToken service units per prompt token.
 * @property generatedToken service units per generated token.
 */
public data class TokenWeights(
    public val promptToken: Double = 0.1,
    public val generatedToken: Double = 1.0,
)

/**
 * Measures the calls of one organisation as seen by its callers.
 *
 * @property organisation name of the organisation.
 * @property share share of the organisation in the bundle.
 * @param weights weights that convert tokens to service units.
 */
public class OrganisationMeter(
    public val organisation: String,
    public val share: Double,
    private val weights: TokenWeights = TokenWeights(),
) {
    private val units = DoubleAdder()
    private val generated = LongAdder()
    private val startedCalls = LongAdder()
    private val completeAnswers = LongAdder()
    private val droppedCalls = LongAdder()
    private val openCalls = AtomicInteger()
    private val firstToken = Recorder(MAX_RECORDED_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val betweenTokens = Recorder(MAX_RECORDED_MICROSECONDS, SIGNIFICANT_DIGITS)
    private val failures = ConcurrentHashMap<String, LongAdder>()

    /** Service received so far, in service units. */
    public val serviceUnits: Double
        get() = units.sum()

    /** Service received so far, in service units per unit of share. */
    public val servicePerShare: Double
        get() = serviceUnits / share

    /** Generated tokens received so far. */
    public val tokens: Long
        get() = generated.sum()

    /** Calls started so far. */
    public val calls: Long
        get() = startedCalls.sum()

    /** Calls with a complete answer so far. */
    public val answers: Long
        get() = completeAnswers.sum()

    /** Arrivals that were dropped because too many calls were in progress. */
    public val dropped: Long
        get() = droppedCalls.sum()

    /** Number of calls in progress. */
    public val outstanding: Int
        get() = openCalls.get()

    /** Calls that ended without a complete answer, by kind and reason. */
    public val failuresByReason: Map<String, Long>
        get() = failures.mapValues { it.value.sum() }.toSortedMap()

    /** Returns the times to the first token, in microseconds, recorded since the last call of this function. */
    public fun firstTokenMicroseconds(): Histogram = firstToken.intervalHistogram

    /** Returns the times between tokens, in microseconds, recorded since the last call of this function. */
    public fun betweenTokensMicroseconds(): Histogram = betweenTokens.intervalHistogram

    /** Discards the latencies recorded so far. */
    public fun resetLatencies() {
        firstToken.reset()
        betweenTokens.reset()
    }

    internal fun recordDropped() = droppedCalls.increment()

    internal fun recordStart() {
        startedCalls.increment()
        openCalls.incrementAndGet()
    }

    internal fun recordFirstToken(request: PlannedRequest, elapsedNanoseconds: Long) {
        units.add(weights.promptToken * request.prompt.length / CHARACTERS_PER_TOKEN)
        firstToken.recordValue(microseconds(elapsedNanoseconds))
        recordToken()
    }

    internal fun recordNextToken(elapsedNanoseconds: Long) {
        betweenTokens.recordValue(microseconds(elapsedNanoseconds))
        recordToken()
    }

    internal fun recordEnd(outcome: CallOutcome) {
        openCalls.decrementAndGet()
        when (outcome) {
            CallOutcome.Complete -> completeAnswers.increment()
            is CallOutcome.Refused -> recordFailure("refused: ${outcome.reason} (executed: ${outcome.executed})")
            is CallOutcome.Failed -> recordFailure("broken off: ${outcome.detail}")
            is CallOutcome.Disconnected -> recordFailure("cut: ${outcome.detail}")
            is CallOutcome.Corrupt -> recordFailure("corrupt")
        }
    }

    private fun recordToken() {
        units.add(weights.generatedToken)
        generated.increment()
    }

    private fun recordFailure(reason: String) = failures.computeIfAbsent(reason) { LongAdder() }.increment()

    private fun microseconds(nanoseconds: Long) = (nanoseconds / 1_000).coerceIn(0, MAX_RECORDED_MICROSECONDS)

    private companion object {
        private const val CHARACTERS_PER_TOKEN = 4
    }
}
