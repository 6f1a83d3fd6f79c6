package toucanrelay.gateway.dispatch

import toucanrelay.core.overload.OrganisationUsage
import toucanrelay.core.quarantine.CrashQuarantine
import toucanrelay.core.target.TargetRegistry
import toucanrelay.core.time.Clock
import toucanrelay.gateway.GatewayMeters
import toucanrelay.gateway.Shutdown
import toucanrelay.gateway.body.AnswerMemory
import toucanrelay.gateway.http.RequestIntake
import toucanrelay.gateway.log.EventLog
import toucanrelay.gateway.stream.TakeUps
import kotlin.random.Random

/** Components of the process that [RequestRunner] uses. */
internal class RunnerDependencies(
    val clock: Clock,
    val admission: Admission,
    val placer: Placer,
    val targets: TargetRegistry,
    val intake: RequestIntake,
    val organisationUsage: OrganisationUsage,
    val serviceDemand: ServiceDemand,
    val statements: TargetStatements,
    val takeUps: TakeUps,
    val answerMemory: AnswerMemory,
    val shutdown: Shutdown,
    val routeDurations: RouteDurations,
    val outputEstimates: OutputEstimates,
    val retryBudgets: RetryBudgets,
    val silenceDetector: SilenceDetector,
    val quarantine: CrashQuarantine,
    val crashDetector: CrashDetector,
    val meters: GatewayMeters,
    val log: EventLog,
    val random: Random,
)
