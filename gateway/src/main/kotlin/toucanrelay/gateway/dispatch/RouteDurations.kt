package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.Route
import toucanrelay.core.shutdown.AnswerTimes
import toucanrelay.core.statistics.RecentMaximum
import toucanrelay.core.time.Clock

/** Keeps the recent times from sending the requests of each route to their complete answers. */
internal class RouteDurations(
    private val clock: Clock,
) {
    private class Durations(
        val longest: RecentMaximum,
        var meanMilliseconds: Double,
    )

    private val byRoute = HashMap<String, Durations>()

    /** Records that a request of [route] was answered completely after [milliseconds]. */
    fun record(route: Route, milliseconds: Long) {
        val durations =
            byRoute.getOrPut(route.name) {
                Durations(RecentMaximum(clock, WINDOW_MILLISECONDS), milliseconds.toDouble())
            }
        durations.longest.add(milliseconds)
        durations.meanMilliseconds += (milliseconds - durations.meanMilliseconds) * NEWEST_WEIGHT
    }

    /** Returns the recent times of [route]; null if none is known. */
    fun timesOf(route: Route): AnswerTimes? {
        val durations = byRoute[route.name] ?: return null
        return durations.longest.value?.let { AnswerTimes(it, durations.meanMilliseconds) }
    }

    /** Forgets the routes that had no answer for a while. */
    fun cleanUp() {
        byRoute.values.removeIf { it.longest.value == null }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 15_000L
        const val NEWEST_WEIGHT = 0.1
    }
}
