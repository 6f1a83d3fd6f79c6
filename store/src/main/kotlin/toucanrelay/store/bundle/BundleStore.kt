package toucanrelay.store.bundle

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.store.PlatformError
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition

/** Reason why a bundle could not be read from or written to the table service. */
public sealed interface BundleStoreError {
    /** Description of the failure, for messages. */
    public val detail: String

    /**
     * The table service could not be reached or refused the call; nothing was written.
     *
     * @property detail description of the failure.
     */
    public data class Unreachable(
        override val detail: String,
    ) : BundleStoreError

    /**
     * The version in force is not the expected one, or the new version is not higher; it was not written.
     *
     * @property current the version in force; null if there is none or it could not be read.
     * @property detail description of the failure.
     */
    public data class Conflict(
        public val current: BundleVersion?,
        override val detail: String,
    ) : BundleStoreError

    /**
     * It is unknown whether the version was written.
     *
     * @property detail description of the failure.
     */
    public data class OutcomeUnknown(
        override val detail: String,
    ) : BundleStoreError

    /**
     * The stored row is not a signed bundle.
     *
     * @property cause the error found when parsing the row.
     */
    public data class Unreadable(
        public val cause: BundleError,
    ) : BundleStoreError {
        override val detail: String
            get() = "the row bundles/current is not a signed bundle: ${cause.detail}"
    }
}

/**
 * Limits for resolving a write whose outcome is unknown, by reading the row back and writing again.
 *
 * @property attempts maximum number of writes, and of reads after each write.
 * @property pauseMilliseconds delay between attempts.
 */
public data class ReadBackPolicy(
    public val attempts: Int = 5,
    public val pauseMilliseconds: Long = 500,
)

/** Reads and replaces the signed bundle in force, which is stored in one row of the platform's table service. */
public class BundleStore(
    private val tables: TableService,
    private val readBackPolicy: ReadBackPolicy = ReadBackPolicy(),
) {
    /** Reads the signed bundle in force; returns null if none was rolled out yet. */
    public suspend fun read(): Result<SignedBundle?, BundleStoreError> = readCurrent().map { it?.bundle }

    /**
     * Puts [next] in force if the version in force is still [expected].
     *
     * If the response of the write is lost, reads the row back and recognises its own write by the signature.
     *
     * @param expected the version on which [next] is based; null if there was none.
     */
    public suspend fun rollOut(next: SignedBundle, expected: BundleVersion?): Result<Unit, BundleStoreError> {
        val current = readCurrent().fold(success = { it }, failure = { return Err(it) })
        if (current?.bundle?.version != expected) return conflict(current?.bundle)
        if (expected != null && next.version <= expected) return conflict(current?.bundle)
        return write(next, current)
    }

    private suspend fun write(next: SignedBundle, before: StoredBundle?): Result<Unit, BundleStoreError> {
        val condition = before?.let { WriteCondition.Unchanged(it.row.version) } ?: WriteCondition.Absent
        var mayHaveTakenEffect = false
        repeat(readBackPolicy.attempts) {
            val error = tables.write(CURRENT_ROW, next.toJson(), condition).fold({ return Ok(Unit) }, { it })
            mayHaveTakenEffect = mayHaveTakenEffect || error is PlatformError.OutcomeUnknown
            if (!mayHaveTakenEffect) return notWritten(error)
            val outcome = readOutcome(next, before, error)
            if (outcome != WriteOutcome.NotWritten) return outcome.toResult()
            delay(readBackPolicy.pauseMilliseconds)
        }
        return WriteOutcome.NotWritten.toResult()
    }

    /** Returns the error of a write that certainly did not take effect. */
    private suspend fun notWritten(error: PlatformError): Result<Unit, BundleStoreError> =
        if (error is PlatformError.Conflict) conflict(readCurrent().get()?.bundle) else unreachable(error)

    private suspend fun readOutcome(next: SignedBundle, before: StoredBundle?, error: PlatformError): WriteOutcome {
        repeat(readBackPolicy.attempts) {
            readCurrent().fold(
                success = { return compare(next, before, it) },
                failure = { delay(readBackPolicy.pauseMilliseconds) },
            )
        }
        return WriteOutcome.Unknown("the write failed (${error.detail}) and the row could not be read back")
    }

    private fun compare(next: SignedBundle, before: StoredBundle?, now: StoredBundle?): WriteOutcome =
        when {
            now?.bundle?.signature == next.signature -> {
                WriteOutcome.Written
            }

            now?.row?.version == before?.row?.version -> {
                WriteOutcome.NotWritten
            }

            now != null && now.bundle.version > next.version -> {
                WriteOutcome.Unknown("version ${now.bundle.version} is in force now and may have replaced this one")
            }

            else -> {
                WriteOutcome.Conflict(now?.bundle)
            }
        }

    private fun WriteOutcome.toResult(): Result<Unit, BundleStoreError> =
        when (this) {
            WriteOutcome.Written -> {
                Ok(Unit)
            }

            WriteOutcome.NotWritten -> {
                Err(
                    BundleStoreError.OutcomeUnknown("the response was lost and the write has not taken effect so far"),
                )
            }

            is WriteOutcome.Conflict -> {
                conflict(current)
            }

            is WriteOutcome.Unknown -> {
                Err(BundleStoreError.OutcomeUnknown(detail))
            }
        }

    private suspend fun readCurrent(): Result<StoredBundle?, BundleStoreError> =
        tables
            .read(CURRENT_ROW)
            .mapError { BundleStoreError.Unreachable(it.detail) }
            .andThen { row -> if (row == null) Ok(null) else parse(row) }

    private fun parse(row: Row): Result<StoredBundle, BundleStoreError> =
        SignedBundle
            .parse(row.value)
            .map { StoredBundle(row, it) }
            .mapError { BundleStoreError.Unreadable(it) }

    private fun conflict(current: SignedBundle?): Result<Nothing, BundleStoreError> {
        val detail =
            current?.let { "version ${it.version} is in force, signed with the key \"${it.keyId}\"" }
                ?: "another version was rolled out in the meantime"
        return Err(BundleStoreError.Conflict(current?.version, detail))
    }

    private fun unreachable(error: PlatformError): Result<Nothing, BundleStoreError> =
        Err(BundleStoreError.Unreachable(error.detail))

    private class StoredBundle(
        val row: Row,
        val bundle: SignedBundle,
    )

    private sealed interface WriteOutcome {
        data object Written : WriteOutcome

        data object NotWritten : WriteOutcome

        class Conflict(
            val current: SignedBundle?,
        ) : WriteOutcome

        class Unknown(
            val detail: String,
        ) : WriteOutcome
    }

    private companion object {
        val CURRENT_ROW = RowKey("bundles", "current")
    }
}
