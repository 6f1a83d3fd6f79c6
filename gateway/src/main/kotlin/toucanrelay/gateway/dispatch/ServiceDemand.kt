package toucanrelay.gateway.dispatch

import toucanrelay.core.statistics.DecayingRate
import toucanrelay.core.time.Clock

/** Measures how many requests per second callers send to this process for each service. */
internal class ServiceDemand(
    private val clock: Clock,
) {
    private val rates = HashMap<String, DecayingRate>()

    /** Records a request for [service]. */
    fun recordRequest(service: String) {
        rates.getOrPut(service) { DecayingRate(clock, TIME_CONSTANT_MILLISECONDS) }.add(1.0)
    }

    /** Returns the requests per second for [service]. */
    fun perSecond(service: String): Double = rates[service]?.perSecond ?: 0.0

    /** Returns the requests per second for each service with recent requests. */
    fun snapshot(): Map<String, Double> =
        rates.mapValues { (_, rate) -> rate.perSecond }.filterValues { it >= MIN_REQUESTS_PER_SECOND }

    private companion object {
        const val TIME_CONSTANT_MILLISECONDS = 2_000L
        const val MIN_REQUESTS_PER_SECOND = 0.05
    }
}
