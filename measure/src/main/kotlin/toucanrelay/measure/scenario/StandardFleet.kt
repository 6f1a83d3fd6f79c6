package toucanrelay.measure.scenario

import toucanrelay.measure.fleet.EngineBuilder
import toucanrelay.measure.fleet.FleetPlan
import toucanrelay.measure.fleet.fleetPlan
import toucanrelay.measure.load.Arrivals
import toucanrelay.measure.load.OrganisationLoad
import toucanrelay.measure.load.RequestKind
import toucanrelay.measure.load.RequestMix
import toucanrelay.measure.result.ScenarioSettings

internal const val MODEL = "advice"
private const val FLOOD_FACTOR = 4
private const val REQUESTS_BEYOND_SLOTS = 8

private val shortAnswers = RequestKind(promptTokens = 20..60, answerTokens = 10..30)
private val longAnswers = RequestKind(promptTokens = 200..600, answerTokens = 100..200)
private val anyAnswers = RequestKind(promptTokens = 20..200, answerTokens = 10..100)

/** Largest ratio of a size hint to the actual size. */
internal const val MAX_HINT_FACTOR = 10.0

/** Cost of the largest request in [contendingLoads] by its hint, in service units. */
internal const val MAX_REQUEST_COST = 200 * 0.1 + 100 * MAX_HINT_FACTOR

/** Builds a fleet with the sizes of [settings] in three failure domains and two regions, as deployments have today. */
internal fun standardFleet(settings: ScenarioSettings, engines: EngineBuilder.() -> Unit = {}): FleetPlan =
    fleetPlan {
        region("uusimaa", "uusimaa-1", "uusimaa-2")
        region("pohjanmaa", "pohjanmaa-1")
        repeat(settings.organisations) { organisation("organisation-${it + 1}", shareOf(it), waitingRequests = 10_000) }
        entries(settings.entries)
        engines(MODEL, settings.targets, engines)
    }

/** Gives the first two organisations a larger share than the rest. */
private fun shareOf(index: Int): Double =
    when (index) {
        0 -> 4.0
        1 -> 2.0
        else -> 1.0
    }

/**
 * Builds a load under which every organisation stays backlogged, each in a different way: the first floods all entries
 * with short requests, the second sends long ones, the third sends through one entry only with hints ten times too low,
 * and the rest send a mix with hints up to ten times too low or too high.
 */
internal fun FleetPlan.contendingLoads(): List<OrganisationLoad> =
    organisations.mapIndexed { index, organisation ->
        val backlog = modelSlots + REQUESTS_BEYOND_SLOTS
        OrganisationLoad(
            organisation = organisation.name,
            key = organisation.key,
            share = organisation.share,
            arrivals = Arrivals.ClosedLoop(if (index == 0) backlog * FLOOD_FACTOR else backlog),
            mix = RequestMix(MODEL, listOf(kindFor(index))),
            entries = if (index == 2) listOf(0) else emptyList(),
        )
    }

private fun kindFor(index: Int): RequestKind =
    when (index) {
        0 -> shortAnswers
        1 -> longAnswers
        2 -> shortAnswers.copy(hintFactors = 0.1..0.1)
        else -> anyAnswers.copy(hintFactors = 0.1..MAX_HINT_FACTOR)
    }
