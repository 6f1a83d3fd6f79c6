package toucanrelay.gateway.stream

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.configuration.CallerLimits
import toucanrelay.core.configuration.Configuration
import toucanrelay.core.configuration.Route
import toucanrelay.core.configuration.RouteKind
import toucanrelay.core.configuration.ServiceSettings
import toucanrelay.core.configuration.WeightedService
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.target.TargetAddress
import toucanrelay.core.target.TargetRegistration
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.ManualClock
import toucanrelay.gateway.http.CallerRequest
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.member.FleetView
import toucanrelay.gateway.member.MemberDigest
import toucanrelay.gateway.member.StreamOriginExchange
import toucanrelay.platform.SavedStreams
import toucanrelay.platform.StoreError
import toucanrelay.platform.StreamRecords

/** The store of a simulation, as far as it keeps streams; [isAway] makes it refuse all calls. */
internal class SimulatedStreamRecords : StreamRecords {
    private val saved = HashMap<InstanceId, SavedStreams>()
    var isAway = false

    override suspend fun write(instance: InstanceId, saved: SavedStreams): Result<Unit, StoreError> {
        if (isAway) return Err(StoreError.Unreachable("away"))
        this.saved[instance] = saved
        return Ok(Unit)
    }

    override suspend fun read(): Result<List<SavedStreams>, StoreError> =
        if (isAway) Err(StoreError.Unreachable("away")) else Ok(saved.values.toList())
}

/** Registrations, the targets whose registrations were removed, and when they were read from the store. */
internal class RegistrationView(
    val registrations: List<TargetRegistration>,
    val removed: Set<TargetId>,
    val readAtMilliseconds: Long,
)

/** One run of a gateway that decides on streams with the product's classes and has no sockets. */
internal class SimulatedStreamGateway(
    name: String,
    private val incarnation: Long,
    private val clock: ManualClock,
    records: StreamRecords,
    registrations: RegistrationRefresh,
) {
    private val instance = InstanceId(name)
    private val registry = TargetRegistry(clock, expiryGraceMilliseconds = 0)
    private val memory = StreamMemory(clock, registry, { RETENTION_MILLISECONDS }) { viewAgeMilliseconds() }
    private val exchange = StreamOriginExchange(memory, clock)
    private val fleet = FleetView(instance, null, clock) { null }
    private val log = EventLog(clock, isWritten = false)
    private val saver = StreamSaver(memory, records, fleet, instance, clock, clock, { 0 }, log)
    private val takeUps = TakeUps(memory, registrations) { }
    private var sequence = 0L

    /** The registrations that this gateway goes by; null before it has any. */
    var view: RegistrationView? = null
        private set

    /** The targets that this gateway may send requests to. */
    val targets: List<TargetRegistration>
        get() = registry.serving(SERVICE, emptySet()).map { it.registration }

    /** The targets that may begin streams. */
    val targetsOfNewStreams: List<TargetRegistration>
        get() {
            val versions = memory.beginningVersions(targets.map { it.serviceVersion })
            return targets.filter { it.serviceVersion in versions }
        }

    private fun viewAgeMilliseconds(): Long? = view?.let { clock.nowMilliseconds() - it.readAtMilliseconds }

    /** Goes by [newer] unless it is older than what this gateway knows. */
    fun apply(newer: RegistrationView) {
        val known = view
        if (known != null && newer.readAtMilliseconds <= known.readAtMilliseconds) return
        if (known != null && hasMissed(known, newer)) memory.recordMissedVersions()
        view = newer
        registry.replaceAll(newer.registrations)
    }

    private fun hasMissed(known: RegistrationView, newer: RegistrationView): Boolean {
        val knownIds = known.registrations.mapTo(HashSet()) { it.id }
        return (newer.removed - known.removed).any { it !in knownIds }
    }

    /** Returns the next digest for the other gateways. */
    fun digest() =
        MemberDigest(
            instance.value,
            incarnation,
            ++sequence,
            streamOrigins = exchange.shared(),
            versions = exchange.sharedVersions(),
            knowsVersions = memory.isRestored,
        )

    fun receive(digest: MemberDigest) {
        if (fleet.recordDigest(digest, TargetAddress("host", 1))) exchange.receive(digest)
    }

    /** Restores what is saved, or saves what this gateway knows. */
    suspend fun save() {
        if (saver.restore()) saver.save()
    }

    /** Decides on [stream], which a caller resumes. */
    suspend fun decide(stream: SimulatedStream): TakeUp = takeUps.decide(requestFor(stream, isTakeUp = true))

    /** Records that [target] writes events of [stream]. */
    fun recordEvent(stream: SimulatedStream, target: TargetRegistration, isTakeUp: Boolean) {
        takeUps.recordEvent(requestFor(stream, isTakeUp), target.version)
    }

    private fun requestFor(stream: SimulatedStream, isTakeUp: Boolean) =
        CallerRequest(
            id = if (isTakeUp) "again-${stream.id}" else stream.id,
            method = HttpMethod.POST,
            uri = "/",
            headers = MultiMap.caseInsensitiveMultiMap(),
            body = Buffer.buffer(),
            configuration = CONFIGURATION,
            route = ROUTE,
            service = CONFIGURATION.services.getValue(SERVICE),
            organisation = null,
            prompt = null,
            lastEventId = if (isTakeUp) 1 else null,
            resumes = stream.id.takeIf { isTakeUp },
            arrivedAtMilliseconds = clock.nowMilliseconds(),
            deadlineAtMilliseconds = stream.deadlineAtMilliseconds,
            callerDeadlineAtMilliseconds = stream.deadlineAtMilliseconds,
            isCallerRetry = false,
        )

    companion object {
        const val SERVICE = "service"
        private const val RETENTION_MILLISECONDS = 60_000L
        private val ROUTE =
            Route(
                "route",
                "host",
                "/",
                RouteKind.STREAMING,
                timeoutMilliseconds = 15_000,
                latencyObjectiveMilliseconds = 500,
                rank = 0,
                services = persistentListOf(WeightedService(SERVICE, 1.0)),
                maxAttempts = 2,
                isAnonymous = true,
                isResumable = true,
                allowedRegions = persistentSetOf(),
            )
        private val CONFIGURATION =
            Configuration(
                1,
                persistentListOf(ROUTE),
                persistentMapOf(SERVICE to ServiceSettings(SERVICE, 10, null, null)),
                persistentListOf(),
                CallerLimits(1_000, 1_000, 60_000, null),
            )
    }
}
