package toucanrelay.measure.quickstart

import org.kohsuke.args4j.Option
import toucanrelay.measure.load.Endpoint

/** Command line of the quickstart's load. */
internal class QuickstartOptions {
    @Option(name = "--entry", metaVar = "IP:PORT", required = true, usage = "an entry's port for callers; repeatable")
    var entries: List<String> = mutableListOf()

    @Option(name = "--operators", metaVar = "IP:PORT", usage = "an entry's operators' port; repeatable")
    var operators: List<String> = mutableListOf()

    @Option(name = "--organisation", metaVar = "NAME:SHARE:KEY", required = true, usage = "an organisation; repeatable")
    var organisations: List<String> = mutableListOf()

    @Option(name = "--model", metaVar = "NAME", usage = "the model that is asked for")
    var model: String = "advice"

    @Option(name = "--service", metaVar = "NAME", usage = "the plain service that takes orders")
    var service: String = "rag-store"

    @Option(name = "--seconds", metaVar = "N", usage = "time under load")
    var seconds: Int = 10

    @Option(name = "--callers", metaVar = "N", usage = "requests that each organisation keeps open")
    var callers: Int = 24

    @Option(name = "--seed", metaVar = "S", usage = "decides the requests")
    var seed: Long = 1

    fun entryEndpoints(): List<Endpoint> = entries.map(::endpoint)

    fun operatorsEndpoints(): List<Endpoint> = operators.map(::endpoint)

    fun quickstartOrganisations(): List<QuickstartOrganisation> = organisations.map(::organisation)

    private fun endpoint(text: String): Endpoint {
        val port = text.substringAfterLast(':').toIntOrNull()
        require(port != null) { "\"$text\" is not IP:PORT" }
        return Endpoint(text.substringBeforeLast(':'), port)
    }

    private fun organisation(text: String): QuickstartOrganisation {
        val parts = text.split(':', limit = 3)
        val share = parts.getOrNull(1)?.toDoubleOrNull()
        require(parts.size == 3 && share != null && share > 0) { "\"$text\" is not NAME:SHARE:KEY" }
        return QuickstartOrganisation(parts[0], share, parts[2])
    }
}

/** An organisation that sends load. */
internal data class QuickstartOrganisation(
    val name: String,
    val share: Double,
    val key: String,
)
