package toucanrelay.daemon.agent

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.flow.MutableStateFlow
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.RequestId
import toucanrelay.core.refusal.RefusalReason
import toucanrelay.daemon.fleet.BundleExchange
import toucanrelay.daemon.fleet.BundleRegister
import toucanrelay.daemon.fleet.FleetDirectory
import toucanrelay.daemon.fleet.ServiceLedger
import toucanrelay.daemon.order.OrderKey
import toucanrelay.daemon.order.OrderRegistry
import toucanrelay.daemon.order.OrderStart
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.wire.BundleUpdate
import toucanrelay.wire.BundleWanted
import toucanrelay.wire.Heartbeat

/** Fake of the daemon services that an agent uses, with state set by the test. */
class FakeFleet(
    bundle: Bundle?,
) : BundleRegister,
    BundleExchange,
    FleetDirectory,
    ServiceLedger,
    OrderRegistry {
    override val current = MutableStateFlow(bundle)
    override val instances = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())
    override val linkedAgents = MutableStateFlow<PersistentList<InstanceRecord>>(persistentListOf())

    override fun heartbeat(sequence: Long, acknowledged: Long): Heartbeat =
        Heartbeat
            .newBuilder()
            .setSequence(sequence)
            .setAcknowledged(acknowledged)
            .setBundleVersion(current.value?.version?.value ?: 0)
            .build()

    override fun receiveHeartbeat(heartbeat: Heartbeat): BundleWanted? {
        val held = current.value?.version?.value ?: 0
        return if (heartbeat.bundleVersion > held) BundleWanted.newBuilder().setHeldVersion(held).build() else null
    }

    override fun updateFor(request: BundleWanted): BundleUpdate? = null

    override fun receiveUpdate(update: BundleUpdate) = Unit

    override fun charge(organisation: OrganisationId, units: Double) = Unit

    override fun virtualTime(organisation: OrganisationId): Double = 0.0

    override fun activate(organisation: OrganisationId) = Unit

    override fun deactivate(organisation: OrganisationId) = Unit

    override suspend fun begin(
        key: OrderKey,
        bodyDigest: String,
        request: RequestId,
    ): Result<OrderStart, RefusalReason> = Err(RefusalReason.CLAIM_UNAVAILABLE)
}
