@file:JvmName("PlainServiceMain")

package toucanrelay.standins

import org.kohsuke.args4j.Option

internal class PlainServiceOptions : StandInOptions() {
    @Option(name = "--delay-milliseconds", metaVar = "MS", usage = "duration of each call")
    var delayMilliseconds: Long = 0

    @Option(name = "--concurrency", metaVar = "N", usage = "calls processed concurrently")
    var concurrency: Int = PlainServiceSettings().concurrency
}

/** Command-line entry point that runs a [PlainService]. */
public fun main(arguments: Array<String>) {
    val options = parseOptions("plain-service", PlainServiceOptions(), arguments)
    val settings =
        PlainServiceSettings(
            host = options.host,
            port = options.port,
            delayMilliseconds = options.delayMilliseconds,
            concurrency = options.concurrency,
        )
    val service = PlainService(settings)
    runStandIn("plain-service", options.host, service::start, service::stop)
}
