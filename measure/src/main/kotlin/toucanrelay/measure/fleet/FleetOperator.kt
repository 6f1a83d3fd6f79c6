package toucanrelay.measure.fleet

import com.github.michaelbull.result.getOrThrow
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleSigner
import toucanrelay.store.bundle.BundleStore
import toucanrelay.store.bundle.FailureDomainDocument
import toucanrelay.store.bundle.OperatorKeyPair

/** Thrown when the platform rejects or does not confirm a bundle. */
public class RollOutException(
    detail: String,
) : RuntimeException(detail)

/**
 * Signs bundles and rolls them out, as the operators' tool does.
 *
 * @property keys the operators' key pair.
 * @param store stores the bundle in force.
 * @param initialDocument the document of the first version.
 */
internal class FleetOperator(
    val keys: OperatorKeyPair,
    private val store: BundleStore,
    initialDocument: BundleDocument,
) {
    private val signer = BundleSigner(keys.privateKey)
    private var document = initialDocument
    private var version: BundleVersion? = null

    /** Applies [change] to the document, rolls it out as the next version and returns that version. */
    suspend fun rollOut(change: (BundleDocument) -> BundleDocument = { it }): BundleVersion {
        val next = BundleVersion((version?.value ?: 0) + 1)
        val changed = change(document)
        store.rollOut(signer.sign(changed, next), version).getOrThrow { RollOutException(it.detail) }
        document = changed
        version = next
        return next
    }

    /** Takes [failureDomain] out of service or brings it back. */
    suspend fun setInService(failureDomain: FailureDomainPlan, inService: Boolean): BundleVersion =
        rollOut { current ->
            val updated = FailureDomainDocument(failureDomain.region, inService)
            current.copy(failureDomains = current.failureDomains + (failureDomain.name to updated))
        }
}
