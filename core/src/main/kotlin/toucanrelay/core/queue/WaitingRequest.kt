package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.identity.TargetId

/**
 * A caller's request that has not been sent to a target.
 *
 * @property cost expected service in service units.
 * @property arrivedAtMilliseconds reading of the clock when the caller's request was taken in.
 * @property bodyBytes size of the request's body.
 * @property expectedAnswerBytes estimated size of the answer's body.
 * @property prefixHash hash of the prompt's prefix; null when affinity does not apply.
 * @property refusedBy targets that refused the request and are tried last.
 * @property isGrantOnly whether the request waits for a grant because an attempt without one was refused.
 */
public data class WaitingRequest(
    public val id: RequestId,
    public val organisation: OrganisationId,
    public val pool: Pool,
    public val cost: Double,
    public val arrivedAtMilliseconds: Long,
    public val bodyBytes: Long = 0,
    public val expectedAnswerBytes: Long = 0,
    public val prefixHash: Long? = null,
    public val refusedBy: PersistentSet<TargetId> = persistentSetOf(),
    public val isGrantOnly: Boolean = false,
)
