package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import toucanrelay.gateway.settings.GatewaySettings
import toucanrelay.platform.standin.StoreBehaviour
import toucanrelay.platform.standin.TargetScript
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText

class SettingsReloadTest :
    DescribeSpec({
        lateinit var file: Path
        lateinit var fixture: GatewayFixture

        beforeEach {
            file = Files.createTempFile("settings", ".json")
            fixture = GatewayFixture(mayRetry = false)
            fixture.start(settingsFile = file)
        }

        afterEach { fixture.kill() }

        fun reload(change: (GatewaySettings) -> GatewaySettings) {
            file.writeText(fixture.settingsText(change = change))
            fixture.gateway.reload()
        }

        describe("a settings file that changes without a signal") {
            it("is applied within seconds if it is valid; otherwise the previous settings remain in force") {
                file.writeText("{")
                delay(2_200)
                fixture.send("/calls/x").status shouldBe 200
                file.writeText(fixture.settingsText(revocationMilliseconds = 301.0))
                fixture.store.behaviour = StoreBehaviour.SILENT
                fixture.eventually { fixture.send("/calls/x").status == 503 }
            }
        }

        // Guards against components that keep the first value of a setting although a reload was reported.
        describe("a reload") {
            it("changes the regions to which requests may be sent") {
                fixture.send("/far/x").status shouldBe 503
                reload { it.copy(regions = mapOf("domain" to "elsewhere")) }
                fixture.eventually { fixture.send("/far/x").status == 200 }
            }

            it("changes the number of retries") {
                fixture.targets.first().script =
                    TargetScript { request, received, target -> target.reject(request, received) }
                fixture.eventually { fixture.send("/calls/x").status != 200 }
                reload { it.copy(bounds = it.bounds.copy(retryRatio = 1.0, retryReserve = 10_000.0)) }
                repeat(CALLS) { fixture.send("/calls/x").status shouldBe 200 }
            }
        }
    })

private const val CALLS = 20
