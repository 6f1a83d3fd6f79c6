package toucanrelay.store.objects

import com.github.michaelbull.result.Result
import toucanrelay.store.PlatformError

/** The platform's object store: maps keys to whole values; the last write wins. */
public interface ObjectStore {
    /** Reads an object; returns null if it does not exist. */
    public suspend fun get(key: String): Result<ByteArray?, PlatformError>

    /** Creates or replaces an object. */
    public suspend fun put(key: String, value: ByteArray): Result<Unit, PlatformError>
}
