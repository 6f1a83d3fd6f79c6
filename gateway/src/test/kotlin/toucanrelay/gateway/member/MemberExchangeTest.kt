@file:OptIn(kotlinx.serialization.ExperimentalSerializationApi::class)

package toucanrelay.gateway.member

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.time.MonotonicClock
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.log.EventLog
import java.net.DatagramSocket
import kotlin.random.Random

private const val LOOPBACK = "127.0.0.1"
private const val TIMEOUT_MILLISECONDS = 20_000L
private const val SEND_PERIOD_MILLISECONDS = 100L
private const val SEED = 29

class MemberExchangeTest :
    DescribeSpec({
        it("takes the sound part of a digest with odd numbers, and bytes that are no digest end nothing") {
            val vertx = Vertx.vertx()
            withContext(vertx.orCreateContext.dispatcher()) {
                val view = FleetView(InstanceId("self"), null, MonotonicClock) { null }
                val received = CompletableDeferred<Unit>()
                val log = EventLog(MonotonicClock, isWritten = false)
                val exchange =
                    MemberExchange(vertx, MonotonicClock, view, log, GatewayMeters()) { received.complete(Unit) }
                val port = DatagramSocket(0).use { it.localPort }
                exchange.listen(TargetAddress(LOOPBACK, port))
                val demand = listOf(ServiceDemandEntry("s", Float.NaN), ServiceDemandEntry("s", 2f))
                val digest = ProtoBuf.encodeToByteArray(MemberDigest("member", 1, 1, demand = demand))
                val random = Random(SEED)
                val sender = vertx.createDatagramSocket()
                repeat(200) { sender.send(Buffer.buffer(random.nextBytes(50)), port, LOOPBACK).coAwait() }
                withTimeout(TIMEOUT_MILLISECONDS) {
                    while (!received.isCompleted) {
                        sender.send(Buffer.buffer(digest), port, LOOPBACK).coAwait()
                        delay(SEND_PERIOD_MILLISECONDS)
                    }
                }
                view.demands("s", ownPerSecond = 1.0)[InstanceId("member")] shouldBe 2.0
            }
            vertx.close().coAwait()
        }
    })
