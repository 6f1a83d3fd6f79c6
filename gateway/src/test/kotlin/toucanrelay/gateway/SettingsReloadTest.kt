package toucanrelay.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import toucanrelay.platform.standin.StoreBehaviour
import java.nio.file.Files
import kotlin.io.path.writeText

class SettingsReloadTest :
    DescribeSpec({
        describe("a settings file that changes without a signal") {
            it("is applied within seconds if it is valid; otherwise the previous settings remain in force") {
                val file = Files.createTempFile("settings", ".json")
                val fixture = GatewayFixture()
                fixture.start(settingsFile = file)
                file.writeText("{")
                delay(2_200)
                fixture.send("/calls/x").status shouldBe 200
                file.writeText(fixture.settingsText(revocationMilliseconds = 301.0))
                fixture.store.behaviour = StoreBehaviour.SILENT
                fixture.eventually { fixture.send("/calls/x").status == 503 }
                fixture.kill()
            }
        }
    })
