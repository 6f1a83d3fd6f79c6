package toucanrelay.measure.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.DoubleAdder
import java.util.concurrent.atomic.LongAdder

private const val HIGHEST_MICROSECONDS = 600_000_000L
private const val DIGITS = 3

/**
 * How tokens count as service, as in the bundle.
 *
 * @property promptToken service units for one prompt token.
 * @property generatedToken service units for one generated token.
 */
public data class TokenWeights(
    public val promptToken: Double = 0.1,
    public val generatedToken: Double = 1.0,
)

/**
 * What the callers of one organisation saw.
 *
 * @property organisation name of the organisation.
 * @property share its share in the bundle.
 * @param weights how tokens count as service.
 */
public class OrganisationMeter(
    public val organisation: String,
    public val share: Double,
    private val weights: TokenWeights = TokenWeights(),
) {
    private val units = DoubleAdder()
    private val generated = LongAdder()
    private val startedCalls = LongAdder()
    private val wholeAnswers = LongAdder()
    private val droppedCalls = LongAdder()
    private val open = AtomicInteger()
    private val firstToken = Recorder(HIGHEST_MICROSECONDS, DIGITS)
    private val betweenTokens = Recorder(HIGHEST_MICROSECONDS, DIGITS)
    private val failures = ConcurrentHashMap<String, LongAdder>()

    /** Service received so far, in service units. */
    public val serviceUnits: Double
        get() = units.sum()

    /** Service received so far for each unit of share. */
    public val serviceOfShare: Double
        get() = serviceUnits / share

    /** Generated tokens received so far. */
    public val tokens: Long
        get() = generated.sum()

    /** Calls that were begun. */
    public val calls: Long
        get() = startedCalls.sum()

    /** Calls whose answer came whole. */
    public val answers: Long
        get() = wholeAnswers.sum()

    /** Calls that could not be begun because too many were open. */
    public val dropped: Long
        get() = droppedCalls.sum()

    /** Calls that are open now. */
    public val outstanding: Int
        get() = open.get()

    /** Calls that did not end with a whole answer, by kind and reason. */
    public val failuresByReason: Map<String, Long>
        get() = failures.mapValues { it.value.sum() }.toSortedMap()

    /** Time to the first token in microseconds since the last reading. */
    public fun firstTokenMicroseconds(): Histogram = firstToken.intervalHistogram

    /** Time between tokens in microseconds since the last reading. */
    public fun betweenTokensMicroseconds(): Histogram = betweenTokens.intervalHistogram

    /** Forgets the times recorded so far. */
    public fun resetLatencies() {
        firstToken.reset()
        betweenTokens.reset()
    }

    internal fun noteDropped() = droppedCalls.increment()

    internal fun noteStart() {
        startedCalls.increment()
        open.incrementAndGet()
    }

    internal fun noteFirstToken(request: PlannedRequest, waitedNanoseconds: Long) {
        units.add(weights.promptToken * request.prompt.length / CHARACTERS_IN_A_TOKEN)
        firstToken.recordValue(microseconds(waitedNanoseconds))
        noteToken()
    }

    internal fun noteNextToken(waitedNanoseconds: Long) {
        betweenTokens.recordValue(microseconds(waitedNanoseconds))
        noteToken()
    }

    internal fun noteEnd(outcome: CallOutcome) {
        open.decrementAndGet()
        when (outcome) {
            CallOutcome.Whole -> wholeAnswers.increment()
            is CallOutcome.Refused -> noteFailure("refused: ${outcome.reason} (executed: ${outcome.executed})")
            is CallOutcome.BrokenOff -> noteFailure("broken off: ${outcome.detail}")
            is CallOutcome.Cut -> noteFailure("cut: ${outcome.detail}")
            is CallOutcome.Corrupt -> noteFailure("corrupt")
        }
    }

    private fun noteToken() {
        units.add(weights.generatedToken)
        generated.increment()
    }

    private fun noteFailure(reason: String) = failures.computeIfAbsent(reason) { LongAdder() }.increment()

    private fun microseconds(nanoseconds: Long) = (nanoseconds / 1_000).coerceIn(0, HIGHEST_MICROSECONDS)

    private companion object {
        private const val CHARACTERS_IN_A_TOKEN = 4
    }
}
