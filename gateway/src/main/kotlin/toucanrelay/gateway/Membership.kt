package toucanrelay.gateway

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.target.TargetAddress
import toucanrelay.platform.MemberRegistration
import toucanrelay.platform.MemberTable

/** Registers this process as a member of the fleet, learns of the others, and removes the rows of those long gone. */
internal class Membership(
    private val parts: GatewayParts,
    private val incarnation: Long,
) {
    private val table = MemberTable(parts.store)

    /** Keeps the membership until the coroutine is cancelled. */
    suspend fun run() {
        val address = TargetAddress(parts.settings.address, parts.settings.memberPort)
        val self = MemberRegistration(parts.settings.instanceId, Incarnation(incarnation), address)
        while (table.register(self).isErr) delay(JOIN_RETRY_MILLISECONDS)
        while (true) {
            table.read().onSuccess { take(it) }
            delay(READ_MILLISECONDS)
        }
    }

    private suspend fun take(registered: List<MemberRegistration>) {
        registered.forEach { parts.fleet.recordRegistration(it.instance, it.incarnation.value, it.address) }
        if (parts.fleet.readerRank() == 0) registered.filter { isLongGone(it) }.forEach { remove(it) }
    }

    private fun isLongGone(member: MemberRegistration): Boolean =
        parts.fleet.sinceExpiryMilliseconds(member.instance)?.let { it >= REMOVED_AFTER_MILLISECONDS } ?: false

    private suspend fun remove(member: MemberRegistration) {
        table
            .remove(member)
            .onSuccess { parts.log.write("member-removed", "member" to member.instance) }
            .onFailure { parts.log.write("member-not-removed", "member" to member.instance, "detail" to it.detail) }
    }

    private companion object {
        const val JOIN_RETRY_MILLISECONDS = 500L

        /** Each member reads once after it has registered, so of any two the later one knows the earlier one. */
        const val READ_MILLISECONDS = 30_000L
        const val REMOVED_AFTER_MILLISECONDS = 600_000L
    }
}
