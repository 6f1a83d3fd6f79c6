package toucanrelay.gateway.dispatch

import toucanrelay.core.identity.OrganisationId

/** Counts what each organisation asked and was served in each second of a simulation. */
internal class ServiceRecord {
    private val asked = HashMap<Pair<OrganisationId, Int>, Int>()
    private val served = HashMap<Pair<OrganisationId, Int>, Int>()
    private val servedTokens = HashMap<Pair<OrganisationId, Int>, Int>()
    private val refused = HashMap<Pair<OrganisationId, Int>, Int>()

    /** Records the first attempt of a request of [organisation]. */
    fun recordAsked(nowMilliseconds: Long, organisation: OrganisationId) = asked.count(nowMilliseconds, organisation)

    /** Records that an engine has begun with a request of [organisation] for [chargedTokens]. */
    fun recordServed(nowMilliseconds: Long, organisation: OrganisationId, chargedTokens: Long) {
        served.count(nowMilliseconds, organisation)
        servedTokens.count(nowMilliseconds, organisation, chargedTokens.toInt())
    }

    /** Records a refusal of a request of [organisation]. */
    fun recordRefused(nowMilliseconds: Long, organisation: OrganisationId) =
        refused.count(nowMilliseconds, organisation)

    /** Number of requests that [name] asked for in [seconds]. */
    fun asked(name: String, seconds: IntRange): Int = asked.sum(name, seconds)

    /** Number of requests of [name] that engines began in [seconds]. */
    fun served(name: String, seconds: IntRange): Int = served.sum(name, seconds)

    /** Charged tokens of the requests of [name] that engines began in [seconds]. */
    fun servedTokens(name: String, seconds: IntRange): Int = servedTokens.sum(name, seconds)

    /** Charged tokens of the requests of all organisations that engines began in [seconds]. */
    fun servedTokens(seconds: IntRange): Int =
        servedTokens.entries.filter { it.key.second in seconds }.sumOf { it.value }

    /** Number of refusals of [name] in [seconds]. */
    fun refused(name: String, seconds: IntRange): Int = refused.sum(name, seconds)

    /** Number of requests of all organisations that engines began in [seconds]. */
    fun served(seconds: IntRange): Int = served.entries.filter { it.key.second in seconds }.sumOf { it.value }

    private fun HashMap<Pair<OrganisationId, Int>, Int>.count(
        nowMilliseconds: Long,
        organisation: OrganisationId,
        amount: Int = 1,
    ) {
        merge(organisation to (nowMilliseconds / MILLISECONDS_PER_SECOND).toInt(), amount, Int::plus)
    }

    private fun Map<Pair<OrganisationId, Int>, Int>.sum(name: String, seconds: IntRange) =
        seconds.sumOf { this[OrganisationId(name) to it] ?: 0 }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
    }
}
