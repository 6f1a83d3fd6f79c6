package toucanrelay.store.objects

import com.github.michaelbull.result.Result
import toucanrelay.store.PlatformError

/** The platform's object store: whole values by name, the last write wins. */
public interface ObjectStore {
    /** Reads an object; null when it does not exist. */
    public suspend fun get(key: String): Result<ByteArray?, PlatformError>

    /** Writes an object whole. */
    public suspend fun put(key: String, value: ByteArray): Result<Unit, PlatformError>
}
