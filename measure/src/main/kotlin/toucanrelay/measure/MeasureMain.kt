@file:JvmName("MeasureMain")

package toucanrelay.measure

import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import toucanrelay.measure.result.ResultTable
import toucanrelay.measure.result.ScenarioResult
import toucanrelay.measure.result.ScenarioSettings
import toucanrelay.measure.scenario.Scenarios
import java.io.PrintStream
import kotlin.system.exitProcess

private const val EXIT_TARGET_MISSED = 1
private const val EXIT_BAD_ARGUMENTS = 2

/** Command line of `bin/measure`. */
internal class MeasureOptions {
    @Argument(metaVar = "SCENARIO", usage = "the scenario to run, or all")
    var scenario: String = ""

    @Option(name = "--seed", metaVar = "S", usage = "random seed for arrivals and requests")
    var seed: Long = ScenarioSettings().seed

    @Option(name = "--seconds", metaVar = "N", usage = "duration of the load in seconds")
    var seconds: Int = ScenarioSettings().seconds

    @Option(name = "--entries", metaVar = "E", usage = "number of entries")
    var entries: Int = ScenarioSettings().entries

    @Option(name = "--targets", metaVar = "T", usage = "number of targets")
    var targets: Int = ScenarioSettings().targets

    @Option(name = "--organisations", metaVar = "O", usage = "number of organisations")
    var organisations: Int = ScenarioSettings().organisations

    @Option(name = "--json", usage = "print JSON")
    var json: Boolean = false

    @Option(name = "--help", help = true, usage = "print this help")
    var help: Boolean = false

    /**
     * Returns the settings that the options select.
     *
     * @throws IllegalArgumentException when a number is out of range.
     */
    fun toSettings(): ScenarioSettings {
        require(seconds in 1..3_600) { "--seconds must be 1 to 3600" }
        require(entries in 1..64) { "--entries must be 1 to 64" }
        require(targets in 1..256) { "--targets must be 1 to 256" }
        require(organisations in 1..1_000) { "--organisations must be 1 to 1000" }
        return ScenarioSettings(seed, seconds, entries, targets, organisations)
    }
}

/** Runs one scenario or all; exits with 0 only when every result is within its target. */
public fun main(arguments: Array<String>) {
    if (System.getProperty("tinylog.level") == null) System.setProperty("tinylog.level", "error")
    val options = MeasureOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
        if (options.help) {
            printUsage(parser, System.out)
            exitProcess(0)
        }
        exitProcess(run(options))
    } catch (exception: CmdLineException) {
        fail(parser, exception.message)
    } catch (exception: IllegalArgumentException) {
        fail(parser, exception.message)
    }
}

private fun run(options: MeasureOptions): Int {
    val scenarios = Scenarios.named(options.scenario)
    require(scenarios.isNotEmpty()) { "unknown scenario \"${options.scenario}\"" }
    val settings = options.toSettings()
    val results = scenarios.map { scenario -> runBlocking { scenario.run(settings) }.also { print(it, options.json) } }
    return if (results.all { it.withinTarget }) 0 else EXIT_TARGET_MISSED
}

private fun print(result: ScenarioResult, asJson: Boolean) {
    println(if (asJson) result.toJson() else ResultTable.render(result) + "\n")
    System.out.flush()
}

private fun fail(parser: CmdLineParser, message: String?): Nothing {
    System.err.println("measure: $message")
    printUsage(parser, System.err)
    exitProcess(EXIT_BAD_ARGUMENTS)
}

private fun printUsage(parser: CmdLineParser, output: PrintStream) {
    output.println("usage: bin/measure SCENARIO [options]")
    parser.printUsage(output)
    output.println("scenarios:")
    Scenarios.all.forEach { output.println(" ${it.name.padEnd(20)} ${it.description}") }
    output.println(" ${"all".padEnd(20)} all scenarios; --json prints one JSON object for each")
}
