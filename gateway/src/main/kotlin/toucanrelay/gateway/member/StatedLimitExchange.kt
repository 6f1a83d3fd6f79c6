package toucanrelay.gateway.member

import toucanrelay.core.allowance.LimitStatement
import toucanrelay.core.allowance.StatedLimits
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.TargetId
import toucanrelay.core.time.Clock

/** Converts stated limits between [StatedLimits] and digests, which carry ages instead of clock readings. */
internal class StatedLimitExchange(
    private val limits: StatedLimits,
    private val clock: Clock,
) {
    /** Returns the statements for the next digest. */
    fun shared(): List<StatedLimitEntry> {
        val now = clock.nowMilliseconds()
        return limits.statementsToShare(MAX_STATEMENTS_PER_DIGEST).map { shared ->
            StatedLimitEntry(
                shared.target.value,
                shared.incarnation.value,
                shared.statement.requestsPerSecond,
                now - shared.statement.atMilliseconds,
            )
        }
    }

    /** Records the statements of another member's digest. */
    fun receive(entries: List<StatedLimitEntry>) {
        val now = clock.nowMilliseconds()
        entries.forEach { entry ->
            val statement = LimitStatement(entry.requestsPerSecond, now - entry.agoMilliseconds)
            limits.merge(TargetId(entry.target), Incarnation(entry.incarnation), statement)
        }
    }

    private companion object {
        const val MAX_STATEMENTS_PER_DIGEST = 64
    }
}
