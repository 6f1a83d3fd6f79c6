package toucanrelay.gateway.dispatch

import kotlinx.collections.immutable.persistentListOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RegionId
import toucanrelay.core.placement.PromptPart
import toucanrelay.core.placement.PromptProfile
import toucanrelay.core.time.ManualClock
import kotlin.math.ln
import kotlin.random.Random

internal const val OBJECTIVE_MILLISECONDS = 600L
internal const val PROMPT_TOKENS = 4_000

/** A prompt part that every engine has cached. */
internal const val SHARED_BY_ALL = "shared"
private const val STEP_MILLISECONDS = 10L
private const val OWN_REGION_DIGEST_STEPS = 20
private const val OTHER_REGION_DIGEST_STEPS = 60
private const val MILLISECONDS_PER_SECOND = 1_000.0

/**
 * Requests that one organisation's callers send.
 *
 * @property requestsPerSecond rate of first attempts; refused callers retry [retries] times.
 * @property gateways the only gateways that receive them, as indexes; null for all.
 * @property regions the only regions whose engines may serve them, as indexes; empty for all.
 */
internal class CallerLoad(
    val organisation: OrganisationId,
    val requestsPerSecond: Double,
    val gateways: List<Int>? = null,
    val regions: Set<Int> = emptySet(),
    val retries: Int = 1,
)

/**
 * A route's prompts, whose parts that are not shared have exponentially distributed lengths.
 *
 * @property sharedTokens tokens of the part that all requests on one of [subjects] share.
 * @property ownTokens mean tokens of the part that is specific to a request.
 */
internal class PromptKind(
    val name: String,
    val sharedTokens: Int,
    val subjects: Int,
    val ownTokens: Int,
    val outputTokens: Int,
    val objectiveMilliseconds: Long = OBJECTIVE_MILLISECONDS,
)

/** Builds a [FleetSimulation]. */
internal class FleetSimulationBuilder {
    /** Number of gateways, half of them in each of two regions. */
    var gateways = 12

    /** Number of engines, half of them in each of two regions. */
    var engines = 12

    /** Prompt tokens that an engine reads per millisecond. */
    var tokensPerMillisecond = 30

    /** Fraction of each prompt that the engines have cached. */
    var cachedFraction = 0.5

    /** Routes that callers use equally often; with none, all prompts have the same length. */
    var kinds: List<PromptKind> = emptyList()

    /** Configured throughput as a multiple of what the engines give. */
    var configuredFactor = 1.0

    /** Fraction of the digests to a gateway that are lost, by the gateway's index. */
    var lostDigests: Map<Int, Double> = emptyMap()

    /** Time between two turns of a gateway's event loop, by the gateway's index; others take a turn in each step. */
    var turnMilliseconds: Map<Int, Long> = emptyMap()

    /** Called at the start of each step with the simulation and its time in milliseconds. */
    var onStep: (FleetSimulation, Long) -> Unit = { _, _ -> }
    val loads = mutableListOf<CallerLoad>()

    /** Adds the callers of the organisation [name]. */
    fun callers(
        name: String,
        requestsPerSecond: Double,
        gateways: List<Int>? = null,
        regions: Set<Int> = emptySet(),
        retries: Int = 1,
    ) {
        loads += CallerLoad(OrganisationId(name), requestsPerSecond, gateways, regions, retries)
    }
}

/** Creates a simulation as [configure] says. */
internal fun fleetSimulation(configure: FleetSimulationBuilder.() -> Unit): FleetSimulation =
    FleetSimulation(FleetSimulationBuilder().apply(configure))

/**
 * Simulates callers, gateways and engines with the classes that decide in a gateway.
 *
 * Gateways know each other by digests, which arrive every 200 ms within a region and every 600 ms from the other one.
 */
internal class FleetSimulation(
    private val options: FleetSimulationBuilder,
) {
    private val clock = ManualClock(0)
    private val random = Random(SEED)
    private val regions = listOf(RegionId("region-0"), RegionId("region-1"))

    /** The gateways' first estimate of an engine's speed, which comes from the configured throughput. */
    private val initialTokensPerMillisecond =
        options.tokensPerMillisecond / (1 - options.cachedFraction) * options.configuredFactor

    /** The engines; they are removed and added while the simulation runs. */
    val engines: MutableList<SimulatedEngine> =
        (0 until options.engines).mapTo(mutableListOf()) { engine("engine-$it", it % regions.size) }

    /** The gateways; they are removed and added while the simulation runs. */
    val gateways: MutableList<SimulatedGateway> =
        (0 until options.gateways).mapTo(mutableListOf()) { gateway("gateway-$it", it % regions.size) }

    private val record = ServiceRecord()
    private val returning = mutableListOf<ReturningCaller>()

    private class ReturningCaller(
        val atMilliseconds: Long,
        val load: CallerLoad,
        val retriesLeft: Int,
    )

    /** Runs for [seconds] and returns what was asked and served. */
    fun run(seconds: Int): ServiceRecord {
        repeat((seconds * MILLISECONDS_PER_SECOND / STEP_MILLISECONDS).toInt()) { step(it) }
        return record
    }

    /** Adds an engine in the region with index [region]. */
    fun engine(name: String, region: Int): SimulatedEngine = SimulatedEngine(name, region, options.tokensPerMillisecond)

    /** Adds a gateway in the region with index [region], which knows nothing of the fleet yet. */
    fun gateway(name: String, region: Int): SimulatedGateway =
        SimulatedGateway(
            name,
            region,
            regions,
            clock,
            initialTokensPerMillisecond,
            ::recordStart,
        )

    private fun step(index: Int) {
        clock.advance(STEP_MILLISECONDS)
        options.onStep(this, clock.nowMilliseconds())
        engines.forEach { it.read(STEP_MILLISECONDS, clock.nowMilliseconds()) }
        exchangeDigests(index)
        options.loads.forEach { load -> repeat(arrivals(load)) { offer(load, load.retries, isRetry = false) } }
        returning.filter { it.atMilliseconds <= clock.nowMilliseconds() }.forEach { caller ->
            returning.remove(caller)
            offer(caller.load, caller.retriesLeft, isRetry = true)
        }
        gateways.forEachIndexed { index, gateway ->
            val period = options.turnMilliseconds[index] ?: STEP_MILLISECONDS
            if (clock.nowMilliseconds() % period == 0L) gateway.takeTurn(engines)
        }
    }

    private fun arrivals(load: CallerLoad): Int {
        val expected = load.requestsPerSecond * STEP_MILLISECONDS / MILLISECONDS_PER_SECOND
        return expected.toInt() + if (random.nextDouble() < expected - expected.toInt()) 1 else 0
    }

    private fun offer(load: CallerLoad, retriesLeft: Int, isRetry: Boolean) {
        val allowed = load.gateways?.mapNotNull { gateways.getOrNull(it) } ?: gateways
        val gateway = allowed.random(random)
        if (!isRetry) record.recordAsked(clock.nowMilliseconds(), load.organisation)
        val kind = options.kinds.randomOrNull(random)
        val objective = kind?.objectiveMilliseconds ?: OBJECTIVE_MILLISECONDS
        val prompt = if (kind == null) uniformPrompt() else prompt(load, kind)
        gateway.accept(
            SimulatedRequest(load, prompt, objective, clock.nowMilliseconds(), isRetry) { refuse(load, retriesLeft) },
        )
    }

    private fun refuse(load: CallerLoad, retriesLeft: Int) {
        record.recordRefused(clock.nowMilliseconds(), load.organisation)
        if (retriesLeft == 0) return
        val delay = random.nextLong(MIN_RETRY_MILLISECONDS, MAX_RETRY_MILLISECONDS)
        returning += ReturningCaller(clock.nowMilliseconds() + delay, load, retriesLeft - 1)
    }

    private fun recordStart(request: SimulatedRequest) {
        record.recordServed(clock.nowMilliseconds(), request.load.organisation, request.prompt.chargedTokens)
    }

    private fun exchangeDigests(index: Int) {
        val isForOthers = index % OTHER_REGION_DIGEST_STEPS == 0
        if (index % OWN_REGION_DIGEST_STEPS != 0 && !isForOthers) return
        gateways.forEach { sender ->
            val digest = sender.digest(index.toLong())
            gateways.forEachIndexed { receiver, gateway ->
                val isAddressed = gateway !== sender && (isForOthers || gateway.region == sender.region)
                if (isAddressed && !isLost(receiver)) gateway.receive(digest)
            }
        }
    }

    private fun isLost(receiver: Int): Boolean {
        val fraction = options.lostDigests[receiver] ?: return false
        return random.nextDouble() < fraction
    }

    private fun uniformPrompt(): PromptProfile =
        profile(
            PromptPart(SHARED_BY_ALL, (PROMPT_TOKENS * options.cachedFraction).toInt()),
            PROMPT_TOKENS - (PROMPT_TOKENS * options.cachedFraction).toInt(),
            OUTPUT_TOKENS,
        )

    private fun prompt(load: CallerLoad, kind: PromptKind): PromptProfile {
        val subject = "${load.organisation}-${kind.name}-${random.nextInt(kind.subjects)}"
        val ownTokens = (-ln(1 - random.nextDouble()) * kind.ownTokens).toInt() + 1
        return profile(PromptPart(subject, kind.sharedTokens), ownTokens, kind.outputTokens)
    }

    private fun profile(shared: PromptPart, ownTokens: Int, outputTokens: Int): PromptProfile =
        PromptProfile(
            model = null,
            promptTokens = shared.tokens + ownTokens,
            maxOutputTokens = outputTokens,
            hintedOutputTokens = outputTokens,
            expectedOutputTokens = outputTokens,
            parts = persistentListOf(shared, PromptPart("own-${random.nextInt()}", ownTokens)),
        )

    private companion object {
        const val SEED = 20
        const val OUTPUT_TOKENS = 10
        const val MIN_RETRY_MILLISECONDS = 150L
        const val MAX_RETRY_MILLISECONDS = 500L
    }
}
