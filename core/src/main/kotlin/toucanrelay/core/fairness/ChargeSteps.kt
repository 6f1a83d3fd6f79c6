package toucanrelay.core.fairness

import toucanrelay.core.identity.OrganisationId
import kotlin.math.floor
import kotlin.math.roundToLong

/**
 * Makes charges whole numbers of steps, so that they take few bytes and add up to the same sum in any order.
 *
 * What is below a step is kept and goes with a later charge of the organisation.
 */
public class ChargeSteps {
    private val remainders = HashMap<OrganisationId, Double>()

    /** The whole steps of [virtualTime], which must be finite, and of what was kept before. */
    public fun take(organisation: OrganisationId, virtualTime: Double): Double {
        require(virtualTime.isFinite()) { "not a charge of $organisation: $virtualTime" }
        val exact = virtualTime + (remainders[organisation] ?: 0.0)
        val whole = floor(exact * STEPS_IN_A_UNIT) / STEPS_IN_A_UNIT
        remainders[organisation] = exact - whole
        return whole
    }

    public companion object {
        private const val STEPS_IN_A_UNIT = 1_024.0

        /** The number of steps in [virtualTime]. */
        public fun count(virtualTime: Double): Long = (virtualTime * STEPS_IN_A_UNIT).roundToLong()

        /** The virtual time of [steps]. */
        public fun virtualTime(steps: Long): Double = steps / STEPS_IN_A_UNIT
    }
}
