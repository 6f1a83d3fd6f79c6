@file:JvmName("PlatformMain")

package toucanrelay.standins

import org.kohsuke.args4j.Option

internal class PlatformOptions : StandInOptions() {
    @Option(name = "--weight-reads-per-second", metaVar = "N", usage = "reads per second that the weight store answers")
    var weightReadsPerSecond: Double = PlatformSettings().weightReadsPerSecond

    @Option(name = "--table-writes-per-second", metaVar = "N", usage = "table writes per second; 0 for no limit")
    var tableWritesPerSecond: Double = 0.0
}

/** Command-line entry point that runs a [PlatformStandIn]. */
public fun main(arguments: Array<String>) {
    val options = parseOptions("platform", PlatformOptions(), arguments)
    val settings =
        PlatformSettings(
            host = options.host,
            port = options.port,
            weightReadsPerSecond = options.weightReadsPerSecond,
            tableWritesPerSecond = options.tableWritesPerSecond,
        )
    val platform = PlatformStandIn(settings)
    runStandIn("platform", options.host, platform::start, platform::stop)
}
