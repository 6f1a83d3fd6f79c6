package toucanrelay.daemon.examples

import com.github.michaelbull.result.getOrElse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.maps.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import toucanrelay.daemon.settings.DaemonSettings
import toucanrelay.daemon.settings.SettingsLoader
import toucanrelay.store.bundle.BundleDocument
import toucanrelay.store.bundle.BundleReader
import toucanrelay.store.bundle.TargetDocument
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

class ExamplesTest :
    DescribeSpec({
        class Deployment(
            val name: String,
            val models: Int,
            val services: Int,
        )

        listOf(Deployment("hallam-brierley", 6, 3), Deployment("kuitujauho", 8, 3)).forEach { deployment ->
            describe("the example ${deployment.name}") {
                val directory = Path.of("..", "examples", deployment.name)
                val files = directory.resolve("settings").listDirectoryEntries("*.json")
                val document by lazy { loadBundle(directory.resolve("bundle.json")) }

                files.forEach { file ->
                    it("has settings that the daemon accepts: ${file.name}") {
                        val settings = loadSettings(file)

                        file.name shouldBe "${settings.instanceId}.json"
                        document.failureDomains[settings.failureDomain]?.region shouldBe settings.region
                    }
                }

                it("has the expected numbers of organisations, failure domains, targets and entries") {
                    document.organisations shouldHaveSize 16
                    document.failureDomains shouldHaveSize 3
                    document.targets.values.count { it.isService() } shouldBe deployment.services
                    document.targets.values.count { !it.isService() } shouldBe deployment.models
                    files.map { loadSettings(it) }.filter { it.entry != null } shouldHaveSize 3
                }

                it("has one agent for each target, in the failure domain of the target") {
                    val agents = files.map { loadSettings(it) }.filter { it.agent != null }

                    agents.map { it.agent?.targetId } shouldContainExactlyInAnyOrder document.targets.keys
                    agents.forEach { agent ->
                        val target = document.targets[agent.agent?.targetId].shouldNotBeNull()
                        target.failureDomain shouldBe agent.failureDomain
                    }
                }
            }
        }
    })

private fun loadSettings(file: Path): DaemonSettings =
    SettingsLoader.load(file).getOrElse { throw AssertionError("$file: ${it.detail}") }

private fun loadBundle(file: Path): BundleDocument =
    BundleReader.parse(file.readText()).getOrElse { throw AssertionError("$file: ${it.detail}") }

private fun TargetDocument.isService() = pools.all { it.startsWith("service:") }
