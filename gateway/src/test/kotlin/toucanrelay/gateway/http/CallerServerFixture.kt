package toucanrelay.gateway.http

import com.github.michaelbull.result.Ok
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import toucanrelay.core.configuration.ConfigurationRegister
import toucanrelay.core.overload.OverloadWithdrawal
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.Gateway
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.LOOPBACK
import toucanrelay.gateway.LoopLag
import toucanrelay.gateway.LoopTurn
import toucanrelay.gateway.TIMEOUT_MILLISECONDS
import toucanrelay.gateway.body.TurnQueue
import toucanrelay.gateway.log.EventLog
import java.net.ServerSocket
import kotlin.random.Random

/** A server for callers whose requests are worked on by stand-ins. */
internal class CallerServerFixture(
    maxConnections: Int = 1_000,
    private val idleTimeoutMilliseconds: Long = 60_000,
    private val work: (CallerResponder) -> RequestWork,
) {
    private val vertx = Vertx.vertx(Gateway.singleEventLoop())
    private val dispatcher = vertx.orCreateContext.dispatcher()
    private val meters = GatewayMeters()
    private val log = EventLog(MonotonicClock, isWritten = false)
    val register = ConfigurationRegister(MonotonicClock)
    private val endings = EndingLog(register, meters, log)
    private val loopLag = LoopLag(MonotonicClock, overloadThresholdMilliseconds = Double.POSITIVE_INFINITY)
    private val loopTurn = LoopTurn(vertx)
    val handler =
        ExchangeHandler(
            { _, _, _, responder -> Ok(work(responder)) },
            register,
            loopLag,
            loopTurn,
            TurnQueue(loopTurn::runAfter),
            endings,
            meters,
            log,
            Random(1),
        )
    val server =
        CallerServer(
            vertx,
            CoroutineScope(SupervisorJob() + dispatcher),
            MonotonicClock,
            handler,
            endings,
            OverloadWithdrawal(MonotonicClock),
            maxConnections,
        ) { idleTimeoutMilliseconds }
    val port = ServerSocket(0).use { it.localPort }

    suspend fun start() {
        onEventLoop { server.listen(TargetAddress(LOOPBACK, port)) }
        vertx.setPeriodic(LoopLag.PERIOD_MILLISECONDS) { loopLag.recordTick() }
        vertx.setPeriodic(TIMEOUT_CHECK_MILLISECONDS) { server.closeTimedOut() }
    }

    suspend fun stop() = vertx.close().coAwait()

    /** Runs [block] where the server's state may be used. */
    suspend fun <T> onEventLoop(block: suspend () -> T): T = withContext(dispatcher) { block() }

    fun connect() = RawCaller(port)

    /** Returns the value of the counter [name] with [reason], if it has reasons. */
    fun count(name: String, reason: String? = null): Double {
        val meter = "toucanrelay_${name}_total" + reason?.let { "{reason=\"$it\"}" }.orEmpty()
        return checkNotNull(
            Regex("(?m)^\\Q$meter\\E (\\S+)").find(meters.scrape()),
        ) { "no $meter" }.groupValues[1].toDouble()
    }

    suspend fun eventually(condition: suspend () -> Boolean) {
        withTimeout(TIMEOUT_MILLISECONDS) { while (!onEventLoop { condition() }) delay(10) }
    }

    private companion object {
        const val TIMEOUT_CHECK_MILLISECONDS = 100L
    }
}
