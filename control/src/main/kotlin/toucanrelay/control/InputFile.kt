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

/** A file that the operator named. */
internal class InputFile(
    private val path: Path,
) {
    /** The whole text. */
    fun text(): Result<String, ControlError> =
        try {
            Ok(path.readText())
        } catch (unreadable: IOException) {
            Err(ControlError.Refused("$path cannot be read: ${unreadable.javaClass.simpleName}"))
        }

    /** The bundle document in the file, checked. */
    fun document(): Result<BundleDocument, ControlError> =
        text().andThen { text -> BundleReader.parse(text).mapError { refused(it) } }

    /** The signed bundle in the file, its document checked. */
    fun signedBundle(): Result<SignedBundle, ControlError> =
        text().andThen { text ->
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
