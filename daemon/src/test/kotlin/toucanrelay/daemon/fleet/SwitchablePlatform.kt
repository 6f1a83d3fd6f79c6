package toucanrelay.daemon.fleet

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import toucanrelay.store.PlatformError
import toucanrelay.store.instances.InstanceList
import toucanrelay.store.instances.InstanceRecord
import toucanrelay.store.table.Row
import toucanrelay.store.table.RowKey
import toucanrelay.store.table.RowVersion
import toucanrelay.store.table.TableService
import toucanrelay.store.table.WriteCondition
import java.util.concurrent.ConcurrentHashMap

/** Rows and instances in memory, shared by the processes of a test. */
class PlatformContent {
    val rows = ConcurrentHashMap<RowKey, Row>()
    val instances = ConcurrentHashMap<String, InstanceRecord>()
}

/** The platform as seen by one process; it can be down for that process only. */
class SwitchablePlatform(
    private val content: PlatformContent,
    private val addressOf: (InstanceRecord) -> InstanceRecord = { it },
) : TableService,
    InstanceList {
    /** Whether the table service and the instance list are down. */
    @Volatile
    var isDown = false

    /** Whether the table service is down. */
    @Volatile
    var isTableDown = false

    override suspend fun read(key: RowKey): Result<Row?, PlatformError> =
        if (isDown || isTableDown) Err(PlatformError.NotExecuted("down")) else Ok(content.rows[key])

    override suspend fun write(
        key: RowKey,
        value: String,
        condition: WriteCondition,
    ): Result<RowVersion, PlatformError> = Err(PlatformError.NotExecuted("writes are not supported"))

    override suspend fun delete(key: RowKey, version: RowVersion): Result<Unit, PlatformError> =
        Err(PlatformError.NotExecuted("writes are not supported"))

    override suspend fun list(): Result<PersistentList<InstanceRecord>, PlatformError> =
        if (isDown) Err(PlatformError.NotExecuted("down")) else Ok(listed())

    private fun listed(): PersistentList<InstanceRecord> =
        content.instances.values
            .sortedBy { it.instance }
            .map(addressOf)
            .toPersistentList()
}
