package toucanrelay.gateway

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.target.TargetAddress
import toucanrelay.platform.MemberRegistration
import toucanrelay.platform.MemberTable
import kotlin.random.Random

/** Registers this process as a member of the fleet, reads the other members and removes expired registrations. */
internal class Membership(
    private val components: GatewayComponents,
    private val incarnation: Long,
) {
    private val table = MemberTable(components.store)

    /** Registers this process, then reads the members periodically until the coroutine is cancelled. */
    suspend fun run() {
        val address = TargetAddress(components.settings.address, components.settings.memberPort)
        val self = MemberRegistration(components.settings.instanceId, Incarnation(incarnation), address)
        while (true) {
            val era = components.storeEra()
            while (table.register(self).isErr) delay(REGISTER_RETRY_MILLISECONDS)
            readUntilRestored(era)
            delay(Random.nextLong(MAX_REGISTER_DELAY_MILLISECONDS))
        }
    }

    /** Reads the members periodically and returns when the store was restored after [era], which may lose the row. */
    private suspend fun readUntilRestored(era: Long?) {
        var registeredEra = era
        while (true) {
            table.read().onSuccess { applyRegistrations(it) }
            repeat(ERA_CHECKS_PER_READ) {
                delay(ERA_CHECK_PERIOD_MILLISECONDS)
                val current = components.storeEra()
                if (registeredEra != null && current != null && current > registeredEra) return
                registeredEra = registeredEra ?: current
            }
        }
    }

    private suspend fun applyRegistrations(registered: List<MemberRegistration>) {
        registered.forEach { components.fleet.recordRegistration(it.instance, it.incarnation.value, it.address) }
        if (components.fleet.readerRank() == 0) registered.filter { isExpired(it) }.forEach { remove(it) }
    }

    private fun isExpired(member: MemberRegistration): Boolean =
        components.fleet.sinceExpiryMilliseconds(member.instance)?.let { it >= REMOVE_AFTER_MILLISECONDS } ?: false

    private suspend fun remove(member: MemberRegistration) {
        table
            .remove(member)
            .onSuccess { components.log.write("member-removed", "member" to member.instance) }
            .onFailure {
                components.log.write(
                    "member-not-removed",
                    "member" to member.instance,
                    "detail" to it.detail,
                )
            }
    }

    private companion object {
        const val REGISTER_RETRY_MILLISECONDS = 500L

        /** Long, since each member reads right after it registers, so that of any two the later finds the earlier. */
        const val ERA_CHECKS_PER_READ = 60
        const val ERA_CHECK_PERIOD_MILLISECONDS = 500L

        /** Spreads the writes of all members after a restore. */
        const val MAX_REGISTER_DELAY_MILLISECONDS = 1_000L
        const val REMOVE_AFTER_MILLISECONDS = 600_000L
    }
}
