package toucanrelay.gateway.target

import toucanrelay.core.allowance.TargetPacing
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.StableHash
import toucanrelay.core.identity.TargetId
import toucanrelay.core.placement.PrefixResidency
import toucanrelay.core.placement.TargetLoad
import toucanrelay.core.statistics.DecayingRate
import toucanrelay.core.target.RegisteredTarget
import toucanrelay.core.target.TargetHealth
import toucanrelay.core.time.Clock

/** This process's state of one incarnation of a target. */
internal class Target(
    registered: RegisteredTarget,
    service: ServiceSettings,
    clock: Clock,
    connect: (onReceived: () -> Unit) -> TargetConnections,
) {
    val id: TargetId = registered.registration.id

    /** Stable hash of [id]. */
    val hash: Long = StableHash.of(id.value)
    val incarnation: Incarnation = registered.registration.incarnation
    val health = TargetHealth(clock)
    val connections: TargetConnections = connect(health::recordReceived)
    val residency = PrefixResidency(((service.engine?.memoryTokens ?: 0) * PREFIX_CACHE_FRACTION).toLong())

    /** Keeps the requests of this process within its part of what the target takes from the fleet. */
    val pacing = TargetPacing(clock, id)

    /** Rate of the prompt tokens that this process sends to the target. */
    val readTokenRate = DecayingRate(clock, READ_RATE_TIME_CONSTANT_MILLISECONDS)

    /** Prompt tokens per second that the other members send to the target. */
    var othersReadTokensPerSecond: Double = 0.0

    /** Load of this process at the target. */
    var load: TargetLoad = TargetLoad.NONE

    /** Load of the other members at the target, as last reported. */
    var othersLoad: TargetLoad = TargetLoad.NONE

    private companion object {
        const val READ_RATE_TIME_CONSTANT_MILLISECONDS = 2_000L
        const val PREFIX_CACHE_FRACTION = 0.65
    }
}
