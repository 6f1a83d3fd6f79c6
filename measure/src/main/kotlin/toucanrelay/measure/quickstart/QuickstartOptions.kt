package toucanrelay.measure.quickstart

import org.kohsuke.args4j.Option
import toucanrelay.measure.load.Endpoint

/** Command line of the quickstart's load generator. */
internal class QuickstartOptions {
    @Option(
        name = "--entry",
        metaVar = "IP:PORT",
        required = true,
        usage = "address of an entry's port for callers; repeatable",
    )
    var entries: List<String> = mutableListOf()

    @Option(name = "--operators", metaVar = "IP:PORT", usage = "address of an entry's port for operators; repeatable")
    var operators: List<String> = mutableListOf()

    @Option(name = "--organisation", metaVar = "NAME:SHARE:KEY", required = true, usage = "an organisation; repeatable")
    var organisations: List<String> = mutableListOf()

    @Option(name = "--model", metaVar = "NAME", usage = "the model to request")
    var model: String = "advice"

    @Option(name = "--service", metaVar = "NAME", usage = "the plain service to send orders to")
    var service: String = "rag-store"

    @Option(name = "--seconds", metaVar = "N", usage = "duration of the load in seconds")
    var seconds: Int = 10

    @Option(name = "--callers", metaVar = "N", usage = "concurrent requests of each organisation")
    var callers: Int = 24

    @Option(name = "--seed", metaVar = "S", usage = "random seed for the requests")
    var seed: Long = 1

    fun entryEndpoints(): List<Endpoint> = entries.map(::parseEndpoint)

    fun operatorsEndpoints(): List<Endpoint> = operators.map(::parseEndpoint)

    fun quickstartOrganisations(): List<QuickstartOrganisation> = organisations.map(::parseOrganisation)

    private fun parseEndpoint(text: String): Endpoint {
        val port = text.substringAfterLast(':').toIntOrNull()
        require(port != null) { "\"$text\" is not IP:PORT" }
        return Endpoint(text.substringBeforeLast(':'), port)
    }

    private fun parseOrganisation(text: String): QuickstartOrganisation {
        val parts = text.split(':', limit = 3)
        val share = parts.getOrNull(1)?.toDoubleOrNull()
        require(parts.size == 3 && share != null && share > 0) { "\"$text\" is not NAME:SHARE:KEY" }
        return QuickstartOrganisation(parts[0], share, parts[2])
    }
}

/** An organisation that the load is sent for. */
internal data class QuickstartOrganisation(
    val name: String,
    val share: Double,
    val key: String,
)
