package toucanrelay.gateway.member

import toucanrelay.core.placement.TargetLoad

/**
 * What the other members have at a target.
 *
 * @property readTokensPerSecond prompt tokens that they send to it a second.
 */
internal class OthersLoad(
    val load: TargetLoad,
    val readTokensPerSecond: Double,
) {
    companion object {
        /** Nothing at all. */
        val NONE = OthersLoad(TargetLoad.NONE, 0.0)

        /** What [entries] of several members make together. */
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
