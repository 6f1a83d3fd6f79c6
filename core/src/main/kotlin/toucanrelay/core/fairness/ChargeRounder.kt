package toucanrelay.core.fairness

import toucanrelay.core.identity.OrganisationId
import kotlin.math.floor
import kotlin.math.roundToLong

/**
 * Rounds charges down to whole steps, so that they encode in few bytes and sum to the same value in any order.
 *
 * The remainder below one step is carried over to the organisation's next charge.
 */
public class ChargeRounder {
    private val remainders = HashMap<OrganisationId, Double>()

    /** Returns the whole steps of [virtualTime], which must be finite, plus the remainder carried over so far. */
    public fun roundDown(organisation: OrganisationId, virtualTime: Double): Double {
        require(virtualTime.isFinite()) { "charge of $organisation is not finite: $virtualTime" }
        val exact = virtualTime + (remainders[organisation] ?: 0.0)
        val whole = floor(exact * STEPS_PER_UNIT) / STEPS_PER_UNIT
        remainders[organisation] = exact - whole
        return whole
    }

    public companion object {
        private const val STEPS_PER_UNIT = 1_024.0

        /** Converts [virtualTime] to a number of steps, the unit on the wire. */
        public fun toSteps(virtualTime: Double): Long = (virtualTime * STEPS_PER_UNIT).roundToLong()

        /** Converts a number of [steps] to virtual time. */
        public fun toVirtualTime(steps: Long): Double = steps / STEPS_PER_UNIT
    }
}
