package toucanrelay.daemon.fleet

import io.grpc.ManagedChannel
import io.grpc.Status
import io.grpc.StatusException
import io.grpc.netty.NettyChannelBuilder
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.first
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.exchange.ExchangeTree
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.wire.EntryExchangeGrpcKt
import toucanrelay.wire.ExchangeMessage

class EntryExchangeServiceTest :
    DescribeSpec({
        fun location(name: String) = EntryLocation(InstanceId(name), RegionId("east"), FailureDomainId("east-1"))

        val ranked = List(3) { location("entry-$it") }.sortedWith(ExchangeTree.ENTRY_RANK)
        lateinit var fleet: FleetFixture
        lateinit var channel: ManagedChannel

        beforeTest {
            if (it.type.name == "Test") {
                fleet = FleetFixture()
                val parent = fleet.startEntry(ranked[1].instance.value)
                channel = NettyChannelBuilder.forAddress("127.0.0.1", parent.port).usePlaintext().build()
            }
        }
        afterTest { (case, _) ->
            if (case.type.name == "Test") {
                channel.shutdownNow()
                fleet.stop()
            }
        }

        /** Opens a stream with [first] as its first message and returns the first response. */
        suspend fun open(first: ExchangeMessage): ExchangeMessage {
            val outgoing = Channel<ExchangeMessage>(1)
            outgoing.send(first)
            return EntryExchangeGrpcKt.EntryExchangeCoroutineStub(channel).exchange(outgoing.consumeAsFlow()).first()
        }

        fun hello(child: EntryLocation, incarnation: Long) =
            helloOf(child, ProcessRun(child.instance, Incarnation(incarnation)))

        describe("an entry exchange service") {
            it("responds to the hello of a child with its own instance ID") {
                open(hello(ranked[2], incarnation = 5)).hello.entry.instanceId shouldBe ranked[1].instance.value
            }

            it("refuses a run that was superseded by a later one") {
                open(hello(ranked[2], incarnation = 5))

                val refusal = shouldThrow<StatusException> { open(hello(ranked[2], incarnation = 4)) }

                refusal.status.code shouldBe Status.Code.FAILED_PRECONDITION
            }

            it("refuses a child that ranks before the parent") {
                val refusal = shouldThrow<StatusException> { open(hello(ranked[0], incarnation = 5)) }

                refusal.status.code shouldBe Status.Code.FAILED_PRECONDITION
            }
        }
    })
