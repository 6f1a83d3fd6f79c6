package toucanrelay.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentSetOf
import toucanrelay.core.identity.FailureDomainId
import toucanrelay.core.identity.OrganisationId
import toucanrelay.core.identity.Pool
import toucanrelay.core.identity.RegionId
import toucanrelay.core.identity.RequestId
import toucanrelay.core.identity.TargetId
import toucanrelay.core.queue.WaitingRequest
import toucanrelay.core.time.ManualClock
import kotlin.random.Random

private val ownLocation = Location(RegionId("uusimaa"), FailureDomainId("a"))
private val otherDomain = Location(RegionId("uusimaa"), FailureDomainId("b"))
private val otherRegion = Location(RegionId("pohjanmaa"), FailureDomainId("c"))

private fun candidate(
    name: String,
    location: Location = ownLocation,
    free: Int = 1,
    limit: Int = 4,
    holdsPrefix: Boolean = false,
) = Candidate(TargetId(name), location, limit, free, holdsPrefix)

private val request =
    WaitingRequest(
        id = RequestId("r"),
        organisation = OrganisationId("mill"),
        pool = Pool.ofModel("advice"),
        cost = 1.0,
        arrivedAtMilliseconds = 0,
        bodyBytes = 100,
        expectedAnswerBytes = 900,
    )

private fun policy(budgetBytes: Long = 10_000) =
    RoutingPolicy(ownLocation, ByteBudget(budgetBytes, budgetBytes, ManualClock()))

private fun RoutingPolicy.chosen(vararg candidates: Candidate, at: Long = 0, of: WaitingRequest = request): String? =
    choose(of, candidates.toList(), at)?.target?.value

class RoutingPolicyTest :
    DescribeSpec({
        describe("the choice of a target") {
            it("prefers the local failure domain, then the local region") {
                policy().chosen(candidate("b", otherDomain, free = 4), candidate("a", ownLocation)) shouldBe "a"
                policy().chosen(candidate("b", otherDomain), candidate("a", ownLocation, free = 0)) shouldBe "b"
            }

            it("prefers the least loaded of otherwise equal targets") {
                policy().chosen(candidate("a", free = 1), candidate("b", free = 3)) shouldBe "b"
            }

            it("uses another region immediately only if the local region has no target") {
                policy().chosen(candidate("far", otherRegion)) shouldBe "far"
                policy().chosen(candidate("far", otherRegion), candidate("a", free = 0)).shouldBeNull()
            }

            it("uses another region after the request has waited in the local region") {
                policy().chosen(candidate("far", otherRegion), candidate("a", free = 0), at = 250) shouldBe "far"
            }

            it("does not use another region beyond the byte budget") {
                policy(budgetBytes = 0).chosen(candidate("far", otherRegion), at = 10_000).shouldBeNull()
            }

            it("retries a target that refused only if there is no other") {
                val refused = request.copy(refusedBy = persistentSetOf(TargetId("a")))
                policy().chosen(candidate("a", free = 4), candidate("b", otherDomain), of = refused) shouldBe "b"
                policy()
                    .chosen(
                        candidate("a", free = 4),
                        candidate("b", otherDomain, free = 0),
                        of = refused,
                    ).shouldBeNull()
                policy().chosen(candidate("a", free = 4), of = refused) shouldBe "a"
            }

            it("selects no target for a request that waits for a grant") {
                policy().chosen(candidate("a"), of = request.copy(isGrantOnly = true)).shouldBeNull()
            }
        }

        describe("prefix affinity") {
            it("takes precedence over the failure domain") {
                policy().chosen(
                    candidate("a", free = 4),
                    candidate("b", otherDomain, free = 4, holdsPrefix = true),
                ) shouldBe
                    "b"
            }

            it("is bounded by load for any reported cache content") {
                checkAll(PropTestConfig(seed = 4401, iterations = 500), Arb.int()) { seed ->
                    val random = Random(seed)
                    val candidates =
                        List(random.nextInt(1, 12)) {
                            candidate(
                                "t$it",
                                free = random.nextInt(0, 9),
                                limit = 8,
                                holdsPrefix = random.nextBoolean(),
                            )
                        }
                    val chosen = policy().choose(request, candidates, 0)
                    val usable = candidates.filter { it.free > 0 }
                    if (usable.isEmpty()) {
                        chosen.shouldBeNull()
                    } else {
                        val mean = candidates.map { it.load }.average()
                        val isLeastLoaded = chosen.shouldNotBeNull().load == usable.minOf { it.load }
                        (isLeastLoaded || chosen.load <= RoutingPolicy.loadBound(mean)).shouldBeTrue()
                    }
                }
            }
        }

        describe("a free target in the local region") {
            it("is never left idle while a request can use it") {
                checkAll(PropTestConfig(seed = 4402, iterations = 300), Arb.int()) { seed ->
                    val random = Random(seed)
                    val locations = listOf(ownLocation, otherDomain, otherRegion)
                    val candidates =
                        List(random.nextInt(1, 10)) {
                            candidate("t$it", locations.random(random), random.nextInt(0, 3))
                        }
                    val chosen = policy().choose(request, candidates, random.nextLong(0, 1_000))
                    if (candidates.any { it.free > 0 && it.location.region == ownLocation.region }) {
                        chosen.shouldNotBeNull().location.region shouldBe ownLocation.region
                    }
                }
            }
        }
    })
