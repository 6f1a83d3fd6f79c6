package toucanrelay.gateway.member

import toucanrelay.core.placement.TargetLoad

/**
 * Load that the other members have at a target.
 *
 * @property readTokensPerSecond prompt tokens that they send to it per second.
 */
internal class OthersLoad(
    val load: TargetLoad,
    val readTokensPerSecond: Double,
) {
    companion object {
        /** No load. */
        val NONE = OthersLoad(TargetLoad.NONE, 0.0)

        /** Returns the sum of [entries], which come from several members. */
        fun sum(entries: List<TargetLoadEntry>): OthersLoad =
            OthersLoad(
                TargetLoad(
                    entries.sumOf { it.requests },
                    entries.sumOf { it.unreadTokens },
                    entries.sumOf { it.memoryTokens },
                ),
                entries.sumOf { it.readTokensPerSecond.toDouble() },
            )
    }
}
