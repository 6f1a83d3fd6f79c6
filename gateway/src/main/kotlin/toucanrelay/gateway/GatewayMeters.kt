package toucanrelay.gateway

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.DistributionSummary
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import toucanrelay.core.retry.TargetOutcome
import toucanrelay.core.target.LeavingSource
import toucanrelay.gateway.dispatch.RequestProgress
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.http.CloseReason
import toucanrelay.gateway.http.Refusal
import toucanrelay.gateway.stream.VersionSource
import toucanrelay.gateway.target.AnswerPart
import java.util.concurrent.TimeUnit

/** Counters and latency histograms of the gateway. */
internal class GatewayMeters {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val refusals = Refusal.entries.associateWith { counter("toucanrelay_refusals", "reason", it.label) }
    private val retries =
        TargetOutcome.entries.associateWith {
            counter("toucanrelay_retries", "after", it.name.lowercase())
        }
    private val tooLargeAnswers =
        AnswerPart.entries.associateWith { counter("toucanrelay_too_large_answers", "part", it.label) }
    private val closedUnanswered =
        CloseReason.entries.associateWith { counter("toucanrelay_closed_unanswered", "reason", it.label) }

    /** Counter of requests on which all work ended although nothing had ended them. */
    val unendedRequests: Counter = Counter.builder("toucanrelay_unended_requests").register(registry)

    /** Counter of attempts that were added because the targets of the others were silent. */
    val hedges: Counter = Counter.builder("toucanrelay_hedges").register(registry)

    /** Counter of back-offs that targets asked for. */
    val targetBackoffs: Counter = Counter.builder("toucanrelay_target_backoffs").register(registry)

    /** Sizes of the datagrams of digests that were sent to one or several members. */
    val digestBytes: DistributionSummary =
        DistributionSummary.builder("toucanrelay_digest_datagrams").baseUnit("bytes").register(registry)

    /** Counter of datagrams of digests that could not be sent to a member. */
    val unsentDigests: Counter = Counter.builder("toucanrelay_unsent_digests").register(registry)

    /** Counter of entries that had no place in a digest although others rely on them. */
    val droppedDigestEntries: Counter = Counter.builder("toucanrelay_dropped_digest_entries").register(registry)
    private val leavingTargets =
        LeavingSource.entries.associateWith {
            counter("toucanrelay_leaving_targets", "source", it.name.lowercase())
        }
    private val takeUps =
        VersionSource.entries.associateWith { counter("toucanrelay_take_ups", "version", it.label) }
    private val outcomes = HashMap<String, Counter>()
    private val taskFailures = HashMap<String, Counter>()
    private val firstByteTimers = HashMap<String, Timer>()

    /** Returns the counter of refusals for [reason]. */
    fun refusals(reason: Refusal): Counter = refusals.getValue(reason)

    /** Returns the counter of retries after [outcome]. */
    fun retries(outcome: TargetOutcome): Counter = retries.getValue(outcome)

    /** Returns the counter of invalid answers of targets in which [part] was too large. */
    fun tooLargeAnswers(part: AnswerPart): Counter = tooLargeAnswers.getValue(part)

    /** Returns the counter of targets that were first known to be leaving from [source]. */
    fun leavingTargets(source: LeavingSource): Counter = leavingTargets.getValue(source)

    /** Returns the counter of requests that resume a stream whose version is known from [source]. */
    fun takeUps(source: VersionSource): Counter = takeUps.getValue(source)

    /** Returns the counter of connections of callers that were closed without a complete answer for [reason]. */
    fun closedUnanswered(reason: CloseReason): Counter = closedUnanswered.getValue(reason)

    /** Records that [request] ended with [outcome] at [nowMilliseconds]. */
    fun recordEnd(
        request: CallerRequest,
        outcome: String,
        progress: RequestProgress,
        nowMilliseconds: Long,
    ) {
        outcomes.getOrPut(outcome) { counter("toucanrelay_requests", "outcome", outcome) }.increment()
        val first = progress.firstByteAtMilliseconds ?: nowMilliseconds
        firstByteTimer(request.route.name).record(first - request.arrivedAtMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Records that the task [name] of the process failed. */
    fun recordTaskFailure(name: String) {
        taskFailures.getOrPut(name) { counter("toucanrelay_task_failures", "task", name) }.increment()
    }

    /** Registers the gauge [name], which calls [read] at each scrape; null is exported as NaN. */
    fun gauge(name: String, tags: Tags = Tags.empty(), read: () -> Number?) {
        Gauge.builder(name) { read()?.toDouble() ?: Double.NaN }.tags(tags).register(registry)
    }

    /** Returns all meters in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private fun firstByteTimer(route: String) =
        firstByteTimers.getOrPut(if (firstByteTimers.size < MAX_ROUTES) route else OTHER_ROUTES) {
            Timer
                .builder("toucanrelay_first_byte")
                .tag("route", route)
                .publishPercentileHistogram()
                .register(registry)
        }

    private fun counter(name: String, tag: String, value: String) =
        Counter.builder(name).tag(tag, value).register(registry)

    private companion object {
        const val MAX_ROUTES = 50
        const val OTHER_ROUTES = "other"
    }
}
