package toucanrelay.core.queue

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RequestId
import toucanrelay.core.identity.TargetId

/**
 * A caller's request that waits for a target.
 *
 * @property cost expected cost in service units.
 * @property arrivedAtMilliseconds clock reading at the arrival of the caller's request.
 * @property bodyBytes size of the request's body.
 * @property expectedAnswerBytes estimated size of the answer's body.
 * @property prefixHash hash of the prompt's prefix; null without prefix affinity.
 * @property refusedBy targets that refused the request; they are tried last.
 * @property isGrantOnly whether the request is sent only with a grant, because an attempt without one was refused.
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
