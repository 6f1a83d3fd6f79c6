@file:JvmName("EngineMain")

package toucanrelay.standins

import org.kohsuke.args4j.Option

internal class EngineOptions : StandInOptions() {
    @Option(name = "--models", metaVar = "NAMES", usage = "loaded models, separated by commas")
    var models: String = "advice"

    @Option(name = "--slots", metaVar = "N", usage = "requests processed concurrently")
    var slots: Int = 8

    @Option(name = "--step-milliseconds", metaVar = "MS", usage = "fixed part of the time per step")
    var stepMilliseconds: Double = EngineTiming().stepMilliseconds

    @Option(name = "--cold", usage = "start cold")
    var cold: Boolean = false

    @Option(name = "--cold-requests", metaVar = "N", usage = "maximum number of concurrent requests of a cold engine")
    var coldRequests: Int = ColdStart().requests

    @Option(name = "--ignores-fencing", usage = "accept model orders with an old fencing number")
    var ignoresFencing: Boolean = false
}

/** Command-line entry point that runs a [ModelEngine]. */
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
