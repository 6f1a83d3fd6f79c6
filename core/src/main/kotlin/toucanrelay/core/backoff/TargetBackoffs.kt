package toucanrelay.core.backoff

import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.NewestRuns
import toucanrelay.core.time.Clock
import kotlin.random.Random

/**
 * Keeps until when targets want no request from this instance, as they said when they refused one.
 *
 * A back-off belongs to one run of its target and survives a registration that lapses and returns. Since a target asks
 * many instances at once, each adds a random time, and sends single requests until the target accepts one.
 */
public class TargetBackoffs(
    private val clock: Clock,
    private val random: Random,
    private val observer: TargetBackoffObserver? = null,
) {
    private class Entry {
        var untilMilliseconds = Long.MIN_VALUE / 2
        var triedAtMilliseconds = Long.MIN_VALUE / 2
        var isOnTrial = false
        var isUnreadableReported = false
    }

    private val entries = NewestRuns { Entry() }

    /** Number of targets that want no request now. */
    public val activeBackoffs: Int
        get() = entries.values.count { clock.nowMilliseconds() < it.untilMilliseconds }

    /** Returns the time for which the run [incarnation] of [target] still wants no request; zero if it does. */
    public fun remainingMilliseconds(target: TargetId, incarnation: Incarnation): Long {
        val entry = entries.find(target, incarnation) ?: return 0
        return maxOf(0, entry.untilMilliseconds - clock.nowMilliseconds())
    }

    /** Returns whether a request may be sent to the run [incarnation] of [target] now. */
    public fun maySend(target: TargetId, incarnation: Incarnation): Boolean {
        val entry = entries.find(target, incarnation) ?: return true
        val now = clock.nowMilliseconds()
        if (now < entry.untilMilliseconds) return false
        return !entry.isOnTrial || now - entry.triedAtMilliseconds >= TRIAL_PERIOD_MILLISECONDS
    }

    /** Records that a request is about to be sent to the run [incarnation] of [target]. */
    public fun recordSent(target: TargetId, incarnation: Incarnation) {
        entries.find(target, incarnation)?.triedAtMilliseconds = clock.nowMilliseconds()
    }

    /**
     * Records what an answer of the run [incarnation] of [target] asks for.
     *
     * @param sentAtMilliseconds when the request was sent that it answers.
     */
    public fun recordAnswer(
        target: TargetId,
        incarnation: Incarnation,
        requested: RequestedBackoff,
        sentAtMilliseconds: Long,
    ) {
        when (requested) {
            is RequestedBackoff.For -> {
                entries.getOrCreate(target, incarnation)?.let { begin(target, it, requested.milliseconds) }
            }

            is RequestedBackoff.Unreadable -> {
                reportUnreadable(target, incarnation, requested.text)
            }

            RequestedBackoff.None -> {
                entries.find(target, incarnation)?.let { endTrial(it, sentAtMilliseconds) }
            }
        }
    }

    /** Forgets the targets that are not in [registered] and want requests again. */
    public fun retain(registered: Set<TargetId>) {
        val now = clock.nowMilliseconds()
        entries.removeIf { target, entry -> target !in registered && entry.untilMilliseconds <= now }
    }

    /** Begins a back-off, or extends the present one: of several that a target asks for, the longest holds. */
    private fun begin(target: TargetId, entry: Entry, requestedMilliseconds: Long) {
        val milliseconds = requestedMilliseconds + spreadMilliseconds(requestedMilliseconds)
        val until = clock.nowMilliseconds() + milliseconds
        entry.isOnTrial = true
        if (until <= entry.untilMilliseconds) return
        entry.untilMilliseconds = until
        observer?.onBackoff(target, milliseconds, requestedMilliseconds)
    }

    private fun spreadMilliseconds(requestedMilliseconds: Long): Long {
        val most = (requestedMilliseconds * SPREAD_FRACTION).toLong()
        return random.nextLong(most.coerceIn(MIN_SPREAD_MILLISECONDS, MAX_SPREAD_MILLISECONDS) + 1)
    }

    /** Ends the trial of [entry] if the answer is to a request that was sent after the back-off. */
    private fun endTrial(entry: Entry, sentAtMilliseconds: Long) {
        if (sentAtMilliseconds >= entry.untilMilliseconds) entry.isOnTrial = false
    }

    private fun reportUnreadable(target: TargetId, incarnation: Incarnation, text: String) {
        val entry = entries.getOrCreate(target, incarnation) ?: return
        if (!entry.isUnreadableReported) observer?.onUnreadable(target, text)
        entry.isUnreadableReported = true
    }

    private companion object {
        /** Part of a back-off over which the instances that a target asked spread their return. */
        const val SPREAD_FRACTION = 0.25
        const val MIN_SPREAD_MILLISECONDS = 100L
        const val MAX_SPREAD_MILLISECONDS = 1_000L

        /** Time between single requests to a target that has accepted none since its back-off. */
        const val TRIAL_PERIOD_MILLISECONDS = 300L
    }
}
