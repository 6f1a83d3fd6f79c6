package toucanrelay.gateway.dispatch

import toucanrelay.core.configuration.Route
import toucanrelay.core.statistics.RecentMaximum
import toucanrelay.core.time.Clock

/** Keeps the longest recent time from sending a request of each route to its complete answer. */
internal class RouteDurations(
    private val clock: Clock,
) {
    private val longestByRoute = HashMap<String, RecentMaximum>()

    /** Records that a request of [route] was answered completely after [milliseconds]. */
    fun record(route: Route, milliseconds: Long) {
        longestByRoute.getOrPut(route.name) { RecentMaximum(clock, WINDOW_MILLISECONDS) }.add(milliseconds)
    }

    /** Returns the longest recent time of [route]; null if none is known. */
    fun longestMilliseconds(route: Route): Long? = longestByRoute[route.name]?.value

    /** Forgets the routes that had no answer for a while. */
    fun cleanUp() {
        longestByRoute.values.removeIf { it.value == null }
    }

    private companion object {
        const val WINDOW_MILLISECONDS = 15_000L
    }
}
