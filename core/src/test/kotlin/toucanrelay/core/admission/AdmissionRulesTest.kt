package toucanrelay.core.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.bundle.Bundle
import toucanrelay.core.bundle.BundleVersion
import toucanrelay.core.bundle.FailureDomainSettings
import toucanrelay.core.bundle.TargetSettings
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.Incarnation
import toucanrelay.core.identity.InstanceId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.ProcessRun
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.refusal.RefusalReason

class AdmissionRulesTest :
    DescribeSpec({
        val advice = Pool.ofModel("advice")
        val run = ProcessRun(InstanceId("agent"), Incarnation(2))
        val region = RegionId("uusimaa")
        val domain = FailureDomainId("uusimaa-1")
        val target = TargetId("target")
        val settings = TargetSettings(region, domain, persistentSetOf(advice, Pool.ofModel("audit")), 4, 1)
        val bundle =
            Bundle(
                BundleVersion(1),
                targets = persistentMapOf(target to settings),
                failureDomains = persistentMapOf(domain to FailureDomainSettings(region)),
            )
        val out =
            bundle.copy(
                failureDomains = persistentMapOf(domain to FailureDomainSettings(region, inService = false)),
            )
        val state = TargetState(run, target, bundle, persistentSetOf(advice), isDraining = false)
        val request = OfferedRequest(run, advice, deadlineInMilliseconds = 1_000)

        data class Case(
            val state: TargetState,
            val request: OfferedRequest,
            val expected: RefusalReason?,
        )

        describe("the admission rules") {
            mapOf(
                "a request that can be admitted" to Case(state, request, null),
                "another run of the agent" to
                    Case(
                        state,
                        request.copy(agent = run.copy(incarnation = Incarnation(1))),
                        RefusalReason.STALE_INCARNATION,
                    ),
                "no bundle" to Case(state.copy(bundle = null), request, RefusalReason.NO_BUNDLE),
                "a failure domain out of service" to
                    Case(state.copy(bundle = out), request, RefusalReason.FAILURE_DOMAIN_OUT),
                "a target that leaves" to Case(state.copy(isDraining = true), request, RefusalReason.TARGET_LEAVING),
                "a target that is not in the bundle" to
                    Case(state.copy(target = TargetId("other")), request, RefusalReason.MODEL_NOT_LOADED),
                "a model that is assigned but not loaded" to
                    Case(state, request.copy(pool = Pool.ofModel("audit")), RefusalReason.MODEL_NOT_LOADED),
                "a model that is loaded but not assigned" to
                    Case(
                        state.copy(loaded = persistentSetOf(Pool.ofModel("extra"))),
                        request.copy(pool = Pool.ofModel("extra")),
                        RefusalReason.MODEL_NOT_LOADED,
                    ),
                "a deadline that has passed" to
                    Case(state, request.copy(deadlineInMilliseconds = 0), RefusalReason.DEADLINE_BEFORE_START),
            ).forEach { (name, case) ->
                it("return the reason for $name") {
                    case.state.refusalOf(case.request) shouldBe case.expected
                }
            }
        }
    })
