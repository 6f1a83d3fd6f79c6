package toucanrelay.daemon.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import toucanrelay.store.bundle.OperatorKeyPair
import toucanrelay.store.json.JsonProblem

class SettingsLoaderTest :
    DescribeSpec({
        val key = OperatorKeyPair.generate("operator-1").publicKey
        val entry =
            DaemonSettings(
                instanceId = "entry-1",
                region = "east-mids",
                failureDomain = "east-mids-1",
                link = ListenAddress("10.0.0.1", 7400),
                operators = ListenAddress("::1", 0),
                platformUrl = "http://10.0.0.2:8080",
                operatorKeys = listOf(OperatorKey(key.id, key.toBase64())),
                entry = EntrySettings(callers = ListenAddress("10.0.0.1", 8443)),
            )
        val agent = entry.copy(entry = null, agent = AgentSettings("model-1", "http://127.0.0.1:8000"))
        val json =
            Json {
                encodeDefaults = true
                explicitNulls = false
            }
        val entryText = json.encodeToString(entry)
        val agentText = json.encodeToString(agent)

        describe("valid settings") {
            listOf(entry, agent).forEach { settings ->
                it(
                    "round-trip through JSON for an ${if (settings.agent == null) "entry" else "agent"}",
                ) {
                    SettingsLoader.parse(json.encodeToString(settings)).get() shouldBe settings
                }
            }

            it("get default values for absent keys") {
                SettingsLoader.parse(Json.encodeToString(entry).replace(",\"agent\":null", "")).get() shouldBe entry
            }
        }

        describe("invalid settings are rejected with the path of the key and the allowed values") {
            class Case(
                val text: String,
                val from: String,
                val to: String,
                val path: String,
                val allowed: String,
            )
            listOf(
                Case(
                    entryText,
                    "\"instanceId\":",
                    "\"instance\":",
                    "instance",
                    "unknown key; allowed are agent, entry",
                ),
                Case(entryText, "\"instanceId\":", "\"instance\":", "instanceId", "missing"),
                Case(entryText, "\"entry-1\"", "\"\"", "instanceId", "1 to 64 letters"),
                Case(entryText, "\"10.0.0.1\"", "\"localhost\"", "link.host", "an IP address"),
                Case(entryText, "7400", "65536", "link.port", "from 0 to 65535"),
                Case(entryText, "7400", "\"7400\"", "link.port", "a whole number"),
                Case(entryText, "7400", "74.5", "link.port", "a whole number"),
                Case(entryText, "8443", "-1", "entry.callers.port", "from 0 to 65535"),
                Case(entryText, "http://10.0.0.2:8080", "10.0.0.2:8080", "platformUrl", "an http or https URL"),
                Case(entryText, key.toBase64(), "AAAA", "operatorKeys[0].ed25519PublicKeyBase64", "X.509"),
                Case(entryText, "30000", "-5", "shutdownLimitMilliseconds", "from 0 to 86400000"),
                Case(entryText, "\"linksPerPool\":8", "\"linksPerPool\":0", "entry.linksPerPool", "from 1 to 1000"),
                Case(entryText, "\"linksPerPool\":8", "\"links\":8", "entry.links", "unknown key"),
                Case(entryText, "\"entry\":", "\"agents\":", "", "exactly one of them"),
                Case(
                    agentText,
                    "\"agent\":{",
                    "\"entry\":{\"callers\":{\"host\":\"::1\",\"port\":1}},\"agent\":{",
                    "",
                    "exactly one",
                ),
                Case(agentText, "\"model-1\"", "7", "agent.targetId", "a string"),
                Case(agentText, "http://127.0.0.1:8000", "ftp://127.0.0.1", "agent.targetUrl", "an http or https URL"),
                Case(
                    agentText,
                    "\"resumeWindowMilliseconds\":10000",
                    "\"resumeWindowMilliseconds\":true",
                    "agent.resumeWindowMilliseconds",
                    "whole number",
                ),
            ).forEach { case ->
                it("${case.from.take(40)} replaced by ${case.to.take(40)}") {
                    val error = SettingsLoader.parse(case.text.replaceFirst(case.from, case.to)).getError()

                    val invalid = error.shouldBeInstanceOf<SettingsError.Invalid>()
                    invalid.problems.map { it.path } shouldContain case.path
                    invalid.problems
                        .find { it.path == case.path }
                        .shouldNotBeNull()
                        .detail shouldContain case.allowed
                    invalid.detail shouldNotContain "\n"
                }
            }

            it("an empty list of operator keys") {
                val error = SettingsLoader.parse(json.encodeToString(entry.copy(operatorKeys = emptyList()))).getError()

                error.shouldBeInstanceOf<SettingsError.Invalid>().problems shouldContain
                    JsonProblem("operatorKeys", "found no key; allowed is one or more")
            }

            it("a duplicate ID of an operator key") {
                val duplicated = entry.copy(operatorKeys = entry.operatorKeys + entry.operatorKeys)

                val error = SettingsLoader.parse(json.encodeToString(duplicated)).getError()

                error.shouldBeInstanceOf<SettingsError.Invalid>().detail shouldContain "each id once"
            }
        }

        describe("a file") {
            val directory = tempdir()

            it("that does not exist is unreadable") {
                SettingsLoader
                    .load(directory.toPath().resolve("absent.json"))
                    .getError()
                    .shouldBeInstanceOf<SettingsError.UnreadableFile>()
            }

            it("that is a directory is unreadable") {
                SettingsLoader.load(directory.toPath()).getError().shouldBeInstanceOf<SettingsError.UnreadableFile>()
            }

            listOf("", "[]", "{", "instanceId = entry-1").forEach { text ->
                it("that contains \"$text\" is malformed") {
                    val file = directory.toPath().resolve("settings.json")
                    file.toFile().writeText(text)

                    SettingsLoader.load(file).getError().shouldBeInstanceOf<SettingsError.Malformed>()
                }
            }
        }
    })
