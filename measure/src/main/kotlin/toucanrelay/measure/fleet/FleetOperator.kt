package toucanrelay.measure.fleet

import com.github.michaelbull.result.getOrThrow
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.OperatorKeyPair

/** Says that the platform did not take an operator's bundle. */
public class RollOutFailed(
    detail: String,
) : RuntimeException(detail)

/**
 * Signs bundles off and rolls them out, as the operators' tool does.
 *
 * @property keys the operators' key.
 * @param store the bundle in force.
 * @param first the document of the first version.
 */
internal class FleetOperator(
    val keys: OperatorKeyPair,
    private val store: BundleStore,
    first: BundleDocument,
) {
    private val signer = BundleSigner(keys.privateKey)
    private var document = first
    private var version: BundleVersion? = null

    /** Rolls the document out as the next version, changed by [change], and returns the version. */
    suspend fun rollOut(change: (BundleDocument) -> BundleDocument = { it }): BundleVersion {
        val next = BundleVersion((version?.value ?: 0) + 1)
        val changed = change(document)
        store.rollOut(signer.sign(changed, next), version).getOrThrow { RollOutFailed(it.detail) }
        document = changed
        version = next
        return next
    }

    /** Takes [failureDomain] out of service or brings it back. */
    suspend fun setInService(failureDomain: FailureDomainPlan, inService: Boolean): BundleVersion =
        rollOut { before ->
            val terms = FailureDomainDocument(failureDomain.region, inService)
            before.copy(failureDomains = before.failureDomains + (failureDomain.name to terms))
        }
}
