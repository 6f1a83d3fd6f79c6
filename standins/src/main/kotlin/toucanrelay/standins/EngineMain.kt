@file:JvmName("EngineMain")

package toucanrelay.standins

import org.kohsuke.args4j.Option

internal class EngineOptions : StandInOptions() {
    @Option(name = "--models", metaVar = "NAMES", usage = "models that are loaded, separated by commas")
    var models: String = "advice"

    @Option(name = "--slots", metaVar = "N", usage = "requests that generate at once")
    var slots: Int = 8

    @Option(name = "--step-milliseconds", metaVar = "MS", usage = "time of a step, without the part that grows")
    var stepMilliseconds: Double = EngineTiming().stepMilliseconds

    @Option(name = "--cold", usage = "starts cold")
    var cold: Boolean = false

    @Option(name = "--cold-requests", metaVar = "N", usage = "requests that a cold engine bears")
    var coldRequests: Int = ColdStart().requests

    @Option(name = "--ignores-fencing", usage = "takes model orders with an old fencing number")
    var ignoresFencing: Boolean = false
}

/** Runs a [ModelEngine] as a program. */
public fun main(arguments: Array<String>) {
    val options = parseOptions("model-engine", EngineOptions(), arguments)
    val settings =
        EngineSettings(
            host = options.host,
            port = options.port,
            models = options.models.split(','),
            slots = options.slots,
            timing = EngineTiming(stepMilliseconds = options.stepMilliseconds),
            coldStart = ColdStart(startsCold = options.cold, requests = options.coldRequests),
            checksFencing = !options.ignoresFencing,
        )
    val engine = ModelEngine(settings)
    runStandIn("model-engine", options.host, engine::start, engine::stop)
}
