@file:JvmName("QuickstartMain")

package toucanrelay.measure.quickstart

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import toucanrelay.measure.load.Arrivals
import toucanrelay.measure.load.LoadGenerator
import toucanrelay.measure.load.OrderLoad
import toucanrelay.measure.load.OrderPlan
import toucanrelay.measure.load.OrganisationLoad
import toucanrelay.measure.load.RequestKind
import toucanrelay.measure.load.RequestMix
import toucanrelay.measure.metrics.MetricsReader
import kotlin.system.exitProcess

private const val EXIT_LOAD_FAILED = 1
private const val EXIT_BAD_ARGUMENTS = 2
private const val DRAIN_LIMIT_MILLISECONDS = 15_000L
private const val ORDER_CALLERS_PER_ORGANISATION = 2
private val shortAnswers =
    RequestKind(
        weight = 3.0,
        promptTokens = 20..60,
        answerTokens = 10..40,
        hintFactors =
            0.5..2.0,
    )
private val longAnswers =
    RequestKind(
        weight = 1.0,
        promptTokens = 100..300,
        answerTokens = 60..120,
        hintFactors =
            0.5..2.0,
    )

/** Sends the quickstart's mixed load to a running fleet and prints a report by organisation. */
public fun main(arguments: Array<String>) {
    if (System.getProperty("tinylog.level") == null) System.setProperty("tinylog.level", "error")
    val options = QuickstartOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(arguments.toList())
        val report = runBlocking { run(options) }
        print(report.render())
        exitProcess(if (report.isSuccessful) 0 else EXIT_LOAD_FAILED)
    } catch (exception: CmdLineException) {
        fail(parser, exception.message)
    } catch (exception: IllegalArgumentException) {
        fail(parser, exception.message)
    }
}

private suspend fun run(options: QuickstartOptions): QuickstartReport {
    val vertx = Vertx.vertx()
    val endpoints = options.entryEndpoints()
    val organisations = options.quickstartOrganisations()
    val generator = LoadGenerator(vertx, endpoints, organisations.map { loadOf(it, options) }, options.seed)
    val orders =
        organisations.associate { organisation ->
            val plan = OrderPlan(options.service, organisation.key, callers = ORDER_CALLERS_PER_ORGANISATION)
            organisation.name to OrderLoad(vertx, endpoints, plan, options.seed + organisation.name.hashCode())
        }
    generator.start()
    orders.values.forEach { it.start() }
    delay(options.seconds * 1_000L)
    orders.values.forEach { it.stop(DRAIN_LIMIT_MILLISECONDS) }
    generator.stop(DRAIN_LIMIT_MILLISECONDS)
    val retries = MetricsReader().countsByReason("toucanrelay_retries_total", options.operatorsEndpoints())
    vertx.close().coAwait()
    return QuickstartReport(generator.meters, orders.mapValues { it.value.log }, retries)
}

private fun loadOf(organisation: QuickstartOrganisation, options: QuickstartOptions) =
    OrganisationLoad(
        organisation = organisation.name,
        key = organisation.key,
        share = organisation.share,
        arrivals = Arrivals.ClosedLoop(options.callers),
        mix = RequestMix(options.model, listOf(shortAnswers, longAnswers)),
    )

private fun fail(parser: CmdLineParser, message: String?): Nothing {
    System.err.println("quickstart: $message")
    parser.printUsage(System.err)
    exitProcess(EXIT_BAD_ARGUMENTS)
}
