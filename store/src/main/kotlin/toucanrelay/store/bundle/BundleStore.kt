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

/** Why a bundle could not be read from or rolled out to the table service. */
public sealed interface BundleStoreError {
    /** What happened, for people. */
    public val detail: String

    /**
     * The table service did not take the call; nothing changed.
     *
     * @property detail what happened.
     */
    public data class Unreachable(
        override val detail: String,
    ) : BundleStoreError

    /**
     * Another version stands where this one was to be written; this one was not written.
     *
     * @property standing the version that stands; null when there is none.
     * @property detail what happened.
     */
    public data class Conflict(
        public val standing: BundleVersion?,
        override val detail: String,
    ) : BundleStoreError

    /**
     * Whether the version was written is not known.
     *
     * @property detail what happened.
     */
    public data class OutcomeUnknown(
        override val detail: String,
    ) : BundleStoreError

    /**
     * What the table service holds cannot be read as a signed bundle.
     *
     * @property cause what is wrong with it.
     */
    public data class Unreadable(
        public val cause: BundleError,
    ) : BundleStoreError {
        override val detail: String
            get() = "the row bundles/current holds no signed bundle: ${cause.detail}"
    }
}

/**
 * How often and how long a lost answer is followed up.
 *
 * @property attempts reads after a lost answer, and writes in all.
 * @property pauseMilliseconds time between them.
 */
public data class ReadBack(
    public val attempts: Int = 5,
    public val pauseMilliseconds: Long = 500,
)

/** The signed bundle in force, kept in one row of the platform's table service. */
public class BundleStore(
    private val tables: TableService,
    private val readBack: ReadBack = ReadBack(),
) {
    /** Reads the signed bundle in force; null when none was rolled out yet. */
    public suspend fun read(): Result<SignedBundle?, BundleStoreError> = readStanding().map { it?.bundle }

    /**
     * Puts [next] in force if the version in force is still [expected].
     *
     * An answer that is lost is followed by reading back; one's own write is told by its signature.
     *
     * @param expected the version that [next] was made from; null when there was none.
     */
    public suspend fun rollOut(next: SignedBundle, expected: BundleVersion?): Result<Unit, BundleStoreError> {
        val standing = readStanding().fold(success = { it }, failure = { return Err(it) })
        if (standing?.bundle?.version != expected) return conflict(standing?.bundle)
        if (expected != null && next.version <= expected) return conflict(standing?.bundle)
        return write(next, standing)
    }

    private suspend fun write(next: SignedBundle, standing: StandingBundle?): Result<Unit, BundleStoreError> {
        val condition = standing?.let { WriteCondition.Unchanged(it.row.version) } ?: WriteCondition.Absent
        var hasLostAnswer = false
        repeat(readBack.attempts) {
            val error = tables.write(CURRENT, next.toJson(), condition).fold({ return Ok(Unit) }, { it })
            hasLostAnswer = hasLostAnswer || error is PlatformError.AnswerLost
            if (!hasLostAnswer) return failed(error)
            val found = findOut(next, standing, error)
            if (found != Finding.NotWritten) return found.toResult()
            delay(readBack.pauseMilliseconds)
        }
        return Finding.NotWritten.toResult()
    }

    /** The outcome of a write that was answered: it did not take effect. */
    private suspend fun failed(error: PlatformError): Result<Unit, BundleStoreError> =
        if (error is PlatformError.Conflict) conflict(readStanding().get()?.bundle) else unreachable(error)

    private suspend fun findOut(next: SignedBundle, before: StandingBundle?, error: PlatformError): Finding {
        repeat(readBack.attempts) {
            readStanding().fold(
                success = { return compare(next, before, it) },
                failure = { delay(readBack.pauseMilliseconds) },
            )
        }
        return Finding.Unknown("the write failed (${error.detail}) and it cannot be read back")
    }

    private fun compare(next: SignedBundle, before: StandingBundle?, now: StandingBundle?): Finding =
        when {
            now?.bundle?.signature == next.signature -> {
                Finding.Written
            }

            now?.row?.version == before?.row?.version -> {
                Finding.NotWritten
            }

            now != null && now.bundle.version > next.version -> {
                Finding.Unknown("version ${now.bundle.version} stands now, which may follow this one")
            }

            else -> {
                Finding.Lost(now?.bundle)
            }
        }

    private fun Finding.toResult(): Result<Unit, BundleStoreError> =
        when (this) {
            Finding.Written -> {
                Ok(Unit)
            }

            Finding.NotWritten -> {
                Err(
                    BundleStoreError.OutcomeUnknown("the answer was lost and the write has not taken effect so far"),
                )
            }

            is Finding.Lost -> {
                conflict(winner)
            }

            is Finding.Unknown -> {
                Err(BundleStoreError.OutcomeUnknown(detail))
            }
        }

    private suspend fun readStanding(): Result<StandingBundle?, BundleStoreError> =
        tables
            .read(CURRENT)
            .mapError { BundleStoreError.Unreachable(it.detail) }
            .andThen { row -> if (row == null) Ok(null) else parse(row) }

    private fun parse(row: Row): Result<StandingBundle, BundleStoreError> =
        SignedBundle
            .parse(row.value)
            .map { StandingBundle(row, it) }
            .mapError { BundleStoreError.Unreadable(it) }

    private fun conflict(standing: SignedBundle?): Result<Nothing, BundleStoreError> {
        val detail =
            standing?.let { "version ${it.version} stands, signed with the key \"${it.keyId}\"" }
                ?: "another version was rolled out meanwhile"
        return Err(BundleStoreError.Conflict(standing?.version, detail))
    }

    private fun unreachable(error: PlatformError): Result<Nothing, BundleStoreError> =
        Err(BundleStoreError.Unreachable(error.detail))

    private class StandingBundle(
        val row: Row,
        val bundle: SignedBundle,
    )

    private sealed interface Finding {
        data object Written : Finding

        data object NotWritten : Finding

        class Lost(
            val winner: SignedBundle?,
        ) : Finding

        class Unknown(
            val detail: String,
        ) : Finding
    }

    private companion object {
        val CURRENT = RowKey("bundles", "current")
    }
}
