package toucanrelay.daemon.settings

import com.github.michaelbull.result.onFailure
import io.netty.util.NetUtil
import toucanrelay.store.bundle.OperatorPublicKey
import toucanrelay.store.json.JsonObjectReader
import toucanrelay.store.json.StringRule
import java.net.URI
import java.net.URISyntaxException

/** Reads settings from JSON objects and reports invalid values to their [JsonObjectReader.problems]. */
internal object SettingsReader {
    private const val DAY_MILLISECONDS = 86_400_000L
    private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

    private val nameRule =
        StringRule("1 to 64 letters, digits, dots, underscores and hyphens") { namePattern.matches(it) }
    private val httpUrlRule = StringRule("an http or https URL") { isHttpUrl(it) }
    private val nonEmptyRule = StringRule("not empty") { it.isNotEmpty() }
    private val ipAddressRule =
        StringRule("an IP address") { NetUtil.isValidIpV4Address(it) || NetUtil.isValidIpV6Address(it) }

    fun read(root: JsonObjectReader): DaemonSettings {
        val settings =
            DaemonSettings(
                instanceId = root.string("instanceId", nameRule),
                region = root.string("region", nameRule),
                failureDomain = root.string("failureDomain", nameRule),
                link = readAddress(root, "link"),
                operators = readAddress(root, "operators"),
                platformUrl = root.string("platformUrl", httpUrlRule),
                operatorKeys = readOperatorKeys(root),
                shutdownLimitMilliseconds = root.integer("shutdownLimitMilliseconds", 0..DAY_MILLISECONDS, 30_000),
                entry = root.objectAt("entry") { readEntry(it) },
                agent = root.objectAt("agent") { readAgent(it) },
            )
        if (root.has("entry") == root.has("agent")) {
            root.problems.report(root.path, "found both or none of entry and agent; allowed is exactly one of them")
        }
        return settings
    }

    private fun readAddress(source: JsonObjectReader, key: String): ListenAddress =
        source.objectAt(key, isRequired = true) {
            ListenAddress(it.string("host", ipAddressRule), it.integer("port", 0L..65_535L).toInt())
        } ?: ListenAddress("", 0)

    private fun readOperatorKeys(root: JsonObjectReader): List<OperatorKey> {
        val keys = root.objects("operatorKeys") { readOperatorKey(it) }
        val path = root.pathOf("operatorKeys")
        if (keys.isEmpty()) root.problems.report(path, "found no key; allowed is one or more")
        val duplicates = keys.groupBy { it.id }.filterValues { it.size > 1 }.keys
        duplicates.forEach { root.problems.report(path, "found the id \"$it\" twice; allowed is each id once") }
        return keys
    }

    private fun readOperatorKey(source: JsonObjectReader): OperatorKey {
        val key = OperatorKey(source.string("id", nameRule), source.string("ed25519PublicKeyBase64", nonEmptyRule))
        OperatorPublicKey.ofBase64(key.id, key.ed25519PublicKey).onFailure {
            val allowed = "an Ed25519 public key, X.509 encoded in base 64"
            source.problems.report(source.pathOf("ed25519PublicKeyBase64"), "${it.detail}; allowed is $allowed")
        }
        return key
    }

    private fun readEntry(source: JsonObjectReader): EntrySettings =
        EntrySettings(
            callers = readAddress(source, "callers"),
            requestTimeoutMilliseconds = source.integer("requestTimeoutMilliseconds", 1..DAY_MILLISECONDS, 300_000),
            linksPerPool = source.integer("linksPerPool", 1L..1_000L, 8).toInt(),
            linkBudgetBytesPerSecond = source.integer("linkBudgetBytesPerSecond", 1_000L..1_000_000_000L, 250_000),
            notReadyNoticeMilliseconds = source.integer("notReadyNoticeMilliseconds", 0L..60_000L, 2_000),
        )

    private fun readAgent(source: JsonObjectReader): AgentSettings =
        AgentSettings(
            targetId = source.string("targetId", nameRule),
            targetUrl = source.string("targetUrl", httpUrlRule),
            resumeWindowMilliseconds = source.integer("resumeWindowMilliseconds", 0L..600_000L, 10_000),
        )

    private fun isHttpUrl(value: String): Boolean =
        try {
            val url = URI(value)
            url.scheme in setOf("http", "https") && url.host != null
        } catch (error: URISyntaxException) {
            false
        }
}
