package toucanrelay.daemon.agent.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.lease.FencingNumber
import toucanrelay.core.lease.LeaseRecord
import toucanrelay.core.lease.LeaseRow
import toucanrelay.core.lease.LeaseToken
import toucanrelay.store.table.Row

private val leaseJson = Json { ignoreUnknownKeys = true }

/** JSON form of a lease in the platform's table `leases`. */
@Serializable
internal data class LeaseDocument(
    val holderInstance: String,
    val holderIncarnation: Long,
    val token: String,
    val fencingNumber: Long,
    val durationMilliseconds: Long,
    val released: Boolean = false,
) {
    fun encode(): String = leaseJson.encodeToString(this)

    fun toRecord(): LeaseRecord =
        LeaseRecord(
            holder = ProcessRun(InstanceId(holderInstance), Incarnation(holderIncarnation)),
            token = LeaseToken(token),
            fencingNumber = FencingNumber(fencingNumber),
            durationMilliseconds = durationMilliseconds,
            isReleased = released,
        )
}

internal fun LeaseRecord.toDocument(): LeaseDocument =
    LeaseDocument(
        holderInstance = holder.instance.value,
        holderIncarnation = holder.incarnation.value,
        token = token.value,
        fencingNumber = fencingNumber.value,
        durationMilliseconds = durationMilliseconds,
        released = isReleased,
    )

/** Parses the lease in this row; returns null when its JSON does not match [LeaseDocument]. */
internal fun Row.toLeaseRow(): LeaseRow? =
    try {
        LeaseRow(version.value, leaseJson.decodeFromString<LeaseDocument>(value).toRecord())
    } catch (malformed: SerializationException) {
        null
    }
