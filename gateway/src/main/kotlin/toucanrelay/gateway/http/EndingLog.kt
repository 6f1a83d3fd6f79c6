package toucanrelay.gateway.http

import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.log.EventLog
import toucanrelay.platform.PlatformHeaders

/** Logs and counts the requests and connections that end without a complete answer. */
internal class EndingLog(
    private val register: ConfigurationRegister,
    private val meters: GatewayMeters,
    private val log: EventLog,
) {
    /** Records that [exchange] has ended with its connection, if this process has closed it. */
    fun recordEnd(exchange: CallerExchange) {
        if (exchange.responder.isAnswered) return
        val reason = exchange.connection.closeReason ?: return
        meters.closedUnanswered(reason).increment()
        log.write("caller-closed", "reason" to reason.label, *fieldsOf(exchange), *configurationFields())
    }

    /** Records that the work on [exchange] has ended without an ending of its request. */
    fun recordUnended(exchange: CallerExchange) {
        meters.unendedRequests.increment()
        log.write("request-unended", *fieldsOf(exchange), *configurationFields())
    }

    /** Records that a connection without a request was closed for [reason]. */
    fun recordIdleClosed(reason: CloseReason) {
        meters.closedUnanswered(reason).increment()
        log.write("caller-closed", "reason" to reason.label, *configurationFields())
    }

    private fun fieldsOf(exchange: CallerExchange): Array<Pair<String, Any?>> =
        arrayOf(
            "id" to PlatformHeaders.readCallerRequest(exchange.request.headers()).requestId,
            "read" to exchange.isRead,
            "sent" to exchange.wasSent,
            "passedOnBytes" to exchange.responder.passedOnBytes,
        )

    private fun configurationFields(): Array<Pair<String, Any?>> =
        arrayOf(
            "configuration" to register.current?.version,
            "configurationAgeMs" to register.ageMilliseconds(),
            "inForceMs" to register.inForceMilliseconds(),
        )
}
