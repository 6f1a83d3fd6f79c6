package toucanrelay.gateway.settings

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private val SETTINGS =
    GatewaySettings(
        instance = "i",
        failureDomain = "d",
        regions = mapOf("d" to "r"),
        address = "10.0.0.1",
        callersAddress = "10.0.0.1:80",
        readinessAddress = "10.0.0.1:81",
        memberPorts = listOf(7_400, 7_415),
        storeAddress = "10.0.0.2:90",
        bounds =
            Bounds(
                revocationMilliseconds = 5_000.0,
                shutdownSeconds = 8.0,
                retryRatio = 0.2,
                retryReserve = 54.0,
                retryWindowSeconds = 10.0,
            ),
    )

class ReloadedSettingsTest :
    DescribeSpec({
        describe("settings that a running process reads again") {
            it("come into force if it can take them over") {
                val loaded =
                    SETTINGS.copy(
                        regions = mapOf("d" to "r", "e" to "s"),
                        bounds = SETTINGS.bounds.copy(shutdownSeconds = 4.0),
                        releasedSuspects = listOf("part:1"),
                    )
                SETTINGS.reloadedWith(loaded) shouldBe ReloadedSettings(loaded, emptyList())
            }

            it("are named if they need a restart, and stay as they were") {
                val loaded =
                    SETTINGS.copy(
                        instance = "j",
                        failureDomain = "e",
                        address = "10.0.0.9",
                        callersAddress = "10.0.0.9:80",
                        readinessAddress = "10.0.0.9:81",
                        memberPorts = listOf(7_500, 7_515),
                        storeAddress = "10.0.0.3:90",
                        maxDescriptors = 99,
                    )
                val reloaded = SETTINGS.reloadedWith(loaded)
                reloaded.inForce shouldBe SETTINGS
                reloaded.needsRestart shouldBe
                    listOf(
                        "instance",
                        "failureDomain",
                        "region",
                        "address",
                        "callersAddress",
                        "readinessAddress",
                        "memberPorts",
                        "storeAddress",
                        "maxDescriptors",
                    )
            }
        }
    })
