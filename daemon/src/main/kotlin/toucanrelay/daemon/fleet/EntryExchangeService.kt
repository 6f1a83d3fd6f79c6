package toucanrelay.daemon.fleet

import io.grpc.Status
import io.grpc.StatusException
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.consumeAsFlow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.job
import org.tinylog.kotlin.Logger
import toucanrelay.core.exchange.EntryLocation
import toucanrelay.core.exchange.ExchangeTree
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.membership.IncarnationRegistry
import toucanrelay.core.membership.RunStatus
import toucanrelay.wire.EntryExchangeGrpcKt
import toucanrelay.wire.ExchangeHello
import toucanrelay.wire.ExchangeMessage
import toucanrelay.wire.ProcessIdentity
import java.util.concurrent.ConcurrentHashMap

/** Accepts the exchange streams of the children of this entry in the exchange tree. */
internal class EntryExchangeService(
    private val exchangeContext: ExchangeContext,
    private val own: EntryLocation,
    private val run: ProcessRun,
) : EntryExchangeGrpcKt.EntryExchangeCoroutineImplBase() {
    private val incarnations = IncarnationRegistry()
    private val sessions = ConcurrentHashMap<InstanceId, Job>()

    override fun exchange(requests: Flow<ExchangeMessage>): Flow<ExchangeMessage> =
        channelFlow {
            val incoming = requests.produceIn(this)
            val child = incoming.receiveHello()
            admit(child)
            channel.send(helloOf(own, run))
            replaceSession(InstanceId(child.entry.instanceId)) {
                ExchangeSession(exchangeContext, channel).run(this, incoming.consumeAsFlow())
            }
            channel.close()
        }

    private fun admit(child: ExchangeHello) {
        val status = synchronized(incarnations) { incarnations.record(child.run()) }
        if (status == RunStatus.SUPERSEDED) throw refusal("a later run of ${child.entry.instanceId} is known")
        // Requiring a parent to rank before its children prevents cycles.
        if (ExchangeTree.ENTRY_RANK.compare(own, child.location()) >= 0) {
            throw refusal("${own.instance} does not rank before ${child.entry.instanceId}")
        }
    }

    // A child that connects again has abandoned its earlier stream, even if this end has not detected that yet.
    private suspend fun replaceSession(child: InstanceId, block: suspend () -> Unit) {
        coroutineScope {
            val job = currentCoroutineContext().job
            sessions.put(child, job)?.cancel()
            try {
                block()
            } catch (broken: ExchangeSessionException) {
                Logger.info { "fleet: exchange stream of child $child ended: ${broken.message}" }
                throw refusal(broken.message.orEmpty())
            } finally {
                sessions.remove(child, job)
            }
        }
    }

    private fun refusal(detail: String) = StatusException(Status.FAILED_PRECONDITION.withDescription(detail))
}

internal fun helloOf(location: EntryLocation, run: ProcessRun): ExchangeMessage {
    val identity =
        ProcessIdentity
            .newBuilder()
            .setInstanceId(run.instance.value)
            .setIncarnation(run.incarnation.value)
    val hello =
        ExchangeHello
            .newBuilder()
            .setEntry(identity)
            .setRegion(location.region.value)
            .setFailureDomain(location.failureDomain.value)
    return ExchangeMessage.newBuilder().setHello(hello).build()
}

internal suspend fun ReceiveChannel<ExchangeMessage>.receiveHello(): ExchangeHello {
    val first = receiveCatching().getOrNull()
    if (first == null || !first.hasHello()) throw ExchangeSessionException("the stream does not begin with a hello")
    return first.hello
}

internal fun ExchangeHello.run(): ProcessRun = ProcessRun(InstanceId(entry.instanceId), Incarnation(entry.incarnation))

private fun ExchangeHello.location(): EntryLocation =
    EntryLocation(InstanceId(entry.instanceId), RegionId(region), FailureDomainId(failureDomain))
