package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext

private val ORGANISATIONS = Regex(""""tenants":\[.*]""")

private val UNUSABLE =
    mapOf(
        "an empty list" to "[]",
        "a list whose only organisation has no name" to """[{"api-keys":["$KEY"]}]""",
        "a list whose only organisation has a name that cannot be sent" to
            """[{"name":"a\r\nb","api-keys":["$KEY"]}]""",
        "a list whose only organisation has unreadable regions" to
            """[{"name":"one","api-keys":["$KEY"],"allowed-regions":7}]""",
        "no list" to """{"name":"one","api-keys":["$KEY"]}""",
        "null" to "null",
    )

/** Guards against routes that serve any key, or none, once no organisation is left that can be used. */
class UnusableOrganisationsTest :
    DescribeSpec({
        lateinit var fixture: GatewayFixture

        fun configuration(version: Long, organisations: String): String =
            ORGANISATIONS.replace(fixture.configuration(version)) { """"tenants":$organisations""" }

        suspend fun startAnother() = GatewayInstance("gateway-2").also { it.start(fixture.store.address.toString()) }

        suspend fun GatewayInstance.statusOfCall(): Int =
            withContext(Dispatchers.IO) {
                RawCaller(port).use { caller ->
                    caller.write(RawRequest("/calls/x").text)
                    caller.readResponse().status
                }
            }

        beforeEach {
            fixture = GatewayFixture()
        }

        afterEach { fixture.kill() }

        describe("a configuration whose organisations are") {
            UNUSABLE.forEach { (what, organisations) ->
                it("$what accepts no key, also at a gateway that starts under it") {
                    fixture.start()
                    fixture.store.putConfiguration(configuration(2, organisations))
                    fixture.eventually { "toucanrelay_configuration_version 2.0" in fixture.metrics() }
                    listOf(KEY, "unheard-of", null).forEach { fixture.send("/calls/x", key = it).status shouldBe 401 }
                    fixture.send("/open/x", key = null).status shouldBe 200
                    val other = startAnother()
                    fixture.eventually { other.statusOfCall() == 401 }
                    other.kill()
                }
            }
        }

        describe("a configuration that cannot be read") {
            it("lets the one before accept keys only as long as one that is not confirmed") {
                fixture.start(revocationMilliseconds = 2_000.0)
                fixture.store.putConfiguration("{")
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                fixture.store.putConfiguration(fixture.configuration(2))
                fixture.eventually { fixture.send("/calls/x").status == 200 }
            }
        }
    })
