package toucanrelay.gateway.settings

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import kotlin.concurrent.thread
import kotlin.io.path.deleteIfExists
import kotlin.io.path.setLastModifiedTime
import kotlin.io.path.writeText

class SettingsFileTest :
    DescribeSpec({
        lateinit var path: Path
        lateinit var file: SettingsFile

        beforeEach {
            path = Files.createTempFile("settings", ".json")
            path.writeText(settingsOf("first"))
            file = SettingsFile(path)
            file.read().get()?.instance shouldBe "first"
        }

        afterEach { path.deleteIfExists() }

        // Guards against changes that are never taken over, since only the modification time was compared.
        describe("a change of the file") {
            it("is seen once") {
                file.readIfChanged() shouldBe null
                path.writeText(settingsOf("second"))
                file.readIfChanged()?.get()?.instance shouldBe "second"
                file.readIfChanged() shouldBe null
            }

            it("is seen within one step of the file's modification time") {
                val modifiedAt = FileTime.fromMillis(1_000)
                path.setLastModifiedTime(modifiedAt)
                file.read()
                path.writeText(settingsOf("second"))
                path.setLastModifiedTime(modifiedAt)
                file.readIfChanged()?.get()?.instance shouldBe "second"
            }

            it("is reported once if it is invalid, and seen again when it is valid") {
                path.writeText("")
                file.readIfChanged()?.getError().shouldNotBeNull()
                file.readIfChanged() shouldBe null
                path.writeText(settingsOf("first"))
                file.readIfChanged()?.get()?.instance shouldBe "first"
            }

            it("is reported once if the file is missing, and seen again when it is back") {
                path.deleteIfExists()
                file.readIfChanged()?.getError().shouldNotBeNull()
                file.readIfChanged() shouldBe null
                path.writeText(settingsOf("first"))
                file.readIfChanged()?.get()?.instance shouldBe "first"
            }
        }

        describe("a file that is being replaced") {
            it("is read once it is complete") {
                path.writeText("{")
                var settings: Result<GatewaySettings, SettingsProblem>? = null
                val reader = thread { settings = file.awaitValid() }
                path.writeText(settingsOf("second"))
                reader.join()
                settings?.get()?.instance shouldBe "second"
            }

            it("is rejected if it stays invalid") {
                path.writeText("{")
                file.awaitValid().getError().shouldNotBeNull()
            }
        }
    })

private fun settingsOf(instance: String) =
    """{"instance":"$instance","failureDomain":"d","regions":{"d":"r"},"address":"10.0.0.1",
    "callersAddress":"10.0.0.1:80","readinessAddress":"10.0.0.1:81","memberPorts":[7400,7415],
    "storeAddress":"10.0.0.2:90","bounds":{"revocationMilliseconds":5000,"shutdownSeconds":8,"retryRatio":0.2,
    "retryReserve":54,"retryWindowSeconds":10}}"""
