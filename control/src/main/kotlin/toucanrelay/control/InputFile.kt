package toucanrelay.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleError
import toucanrelay.store.bundle.BundleReader
import toucanrelay.store.bundle.SignedBundle
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** File given on the command line. */
internal class InputFile(
    private val path: Path,
) {
    /** Reads the whole text. */
    fun readText(): Result<String, ControlError> =
        try {
            Ok(path.readText())
        } catch (unreadable: IOException) {
            Err(ControlError.Refused("$path cannot be read: ${unreadable.javaClass.simpleName}"))
        }

    /** Reads and validates the bundle document in the file. */
    fun readDocument(): Result<BundleDocument, ControlError> =
        readText().andThen { text -> BundleReader.parse(text).mapError { refused(it) } }

    /** Reads the signed bundle in the file and validates its document; the signature is not verified. */
    fun readSignedBundle(): Result<SignedBundle, ControlError> =
        readText().andThen { text ->
            SignedBundle
                .parse(text)
                .andThen { signed -> BundleReader.read(signed.document).andThen { Ok(signed) } }
                .mapError { refused(it) }
        }

    private fun refused(error: BundleError): ControlError {
        val details = if (error is BundleError.Invalid) error.problems.map { it.toString() } else listOf(error.detail)
        return ControlError.Refused(details.joinToString("\n") { "$path: $it" })
    }
}
