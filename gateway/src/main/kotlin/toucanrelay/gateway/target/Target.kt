package toucanrelay.gateway.target

import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PrefixResidency
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.statistics.DecayingRate
import toucanrelay.core.statistics.SlidingWindowCounter
import toucanrelay.core.target.RegisteredTarget
import toucanrelay.core.target.TargetHealth
import toucanrelay.core.time.Clock

/** One run of a target as this process uses it. */
internal class Target(
    registered: RegisteredTarget,
    terms: ServiceSettings,
    clock: Clock,
    connect: (heard: () -> Unit) -> TargetConnections,
) {
    val id: TargetId = registered.registration.id

    /** Stable hash of [id]. */
    val hash: Long = StableHash.of(id.value)
    val incarnation: Incarnation = registered.registration.incarnation
    val health = TargetHealth(clock)
    val connections: TargetConnections = connect(health::recordReceived)
    val residency = PrefixResidency(((terms.engine?.memoryTokens ?: 0) * CACHED_PART_OF_MEMORY).toLong())

    /** Requests of the last second, for the bound on cold targets. */
    val sentLately = SlidingWindowCounter(clock, ONE_SECOND_MILLISECONDS)

    /** Prompt tokens that this process sends to the target. */
    val readTokens = DecayingRate(clock, READ_RATE_MEMORY_MILLISECONDS)

    /** Prompt tokens a second that the other members send to the target. */
    var othersReadPerSecond: Double = 0.0

    /** What this process has at the target. */
    var load: TargetLoad = TargetLoad.NONE

    /** Members' load at the target, as they told it last. */
    var othersLoad: TargetLoad = TargetLoad.NONE

    private companion object {
        const val READ_RATE_MEMORY_MILLISECONDS = 2_000L
        const val ONE_SECOND_MILLISECONDS = 1_000L
        const val CACHED_PART_OF_MEMORY = 0.65
    }
}
