package toucanrelay.daemon.settings

import com.github.michaelbull.result.onFailure
import io.netty.util.NetUtil
import toucanrelay.store.bundle.OperatorPublicKey
import toucanrelay.store.json.CheckedObject
import toucanrelay.store.json.TextRule
import java.net.URI
import java.net.URISyntaxException

/** Turns checked JSON objects into settings. */
internal object SettingsReader {
    private const val DAY_MILLISECONDS = 86_400_000L
    private val nameForm = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

    private val name = TextRule("1 to 64 letters, digits, dots, underscores and hyphens") { nameForm.matches(it) }
    private val httpUrl = TextRule("an http or https URL") { isHttpUrl(it) }
    private val text = TextRule("not empty") { it.isNotEmpty() }
    private val address =
        TextRule("an IP number") { NetUtil.isValidIpV4Address(it) || NetUtil.isValidIpV6Address(it) }

    fun read(root: CheckedObject): DaemonSettings {
        val settings =
            DaemonSettings(
                instanceId = root.text("instanceId", name),
                region = root.text("region", name),
                failureDomain = root.text("failureDomain", name),
                link = readAddress(root, "link"),
                operators = readAddress(root, "operators"),
                platformUrl = root.text("platformUrl", httpUrl),
                operatorKeys = readKeys(root),
                shutdownLimitMilliseconds = root.whole("shutdownLimitMilliseconds", 0..DAY_MILLISECONDS, 30_000),
                entry = root.objectAt("entry") { readEntry(it) },
                agent = root.objectAt("agent") { readAgent(it) },
            )
        if (root.has("entry") == root.has("agent")) {
            root.problems.report(root.path, "found both or none of entry and agent; allowed is exactly one of them")
        }
        return settings
    }

    private fun readAddress(source: CheckedObject, key: String): ListenAddress =
        source.objectAt(key, isRequired = true) {
            ListenAddress(it.text("host", address), it.whole("port", 0L..65_535L).toInt())
        } ?: ListenAddress("", 0)

    private fun readKeys(root: CheckedObject): List<OperatorKey> {
        val keys = root.objects("operatorKeys") { readKey(it) }
        val path = root.pathOf("operatorKeys")
        if (keys.isEmpty()) root.problems.report(path, "found no key; allowed is one or more")
        val repeated = keys.groupBy { it.id }.filterValues { it.size > 1 }.keys
        repeated.forEach { root.problems.report(path, "found the id \"$it\" twice; allowed is each id once") }
        return keys
    }

    private fun readKey(source: CheckedObject): OperatorKey {
        val key = OperatorKey(source.text("id", name), source.text("ed25519PublicKeyBase64", text))
        OperatorPublicKey.ofBase64(key.id, key.ed25519PublicKey).onFailure {
            val allowed = "an Ed25519 public key, X.509 encoded in base 64"
            source.problems.report(source.pathOf("ed25519PublicKeyBase64"), "${it.detail}; allowed is $allowed")
        }
        return key
    }

    private fun readEntry(source: CheckedObject): EntrySettings =
        EntrySettings(
            callers = readAddress(source, "callers"),
            requestTimeoutMilliseconds = source.whole("requestTimeoutMilliseconds", 1..DAY_MILLISECONDS, 300_000),
            linksPerPool = source.whole("linksPerPool", 1L..1_000L, 8).toInt(),
            linkBudgetBytesPerSecond = source.whole("linkBudgetBytesPerSecond", 1_000L..1_000_000_000L, 250_000),
            notReadyNoticeMilliseconds = source.whole("notReadyNoticeMilliseconds", 0L..60_000L, 2_000),
        )

    private fun readAgent(source: CheckedObject): AgentSettings =
        AgentSettings(
            targetId = source.text("targetId", name),
            targetUrl = source.text("targetUrl", httpUrl),
            resumeWindowMilliseconds = source.whole("resumeWindowMilliseconds", 0L..600_000L, 10_000),
        )

    private fun isHttpUrl(value: String): Boolean =
        try {
            val url = URI(value)
            url.scheme in setOf("http", "https") && url.host != null
        } catch (malformed: URISyntaxException) {
            false
        }
}
