package toucanrelay.daemon.fleet

import io.micrometer.core.instrument.MeterRegistry

/**
 * Kinds of messages that processes exchange for control.
 *
 * @property label value of the counter's `kind` tag.
 */
public enum class ControlKind(
    public val label: String,
) {
    /** First message of a link. */
    HELLO("hello"),

    /** Sign of life and bundle version. */
    HEARTBEAT("heartbeat"),

    /** Service increments, totals and backlog. */
    SERVICE("service"),

    /** Request for a bundle, and bundle. */
    BUNDLE("bundle"),

    /** Instances that leave. */
    LEAVING("leaving"),

    /** Demand of entries. */
    DEMAND("demand"),

    /** Grants, capacity and cache changes of agents. */
    CAPACITY("capacity"),
}

/** Counts control messages by kind and direction: `toucanrelay.fleet.control.bytes` and `….messages`. */
public class ControlTraffic(
    private val meters: MeterRegistry,
) {
    /** Counts a message of [bytes] that this process sent. */
    public fun sent(kind: ControlKind, bytes: Int) {
        count(kind, "sent", bytes)
    }

    /** Counts a message of [bytes] that this process received. */
    public fun received(kind: ControlKind, bytes: Int) {
        count(kind, "received", bytes)
    }

    private fun count(kind: ControlKind, direction: String, bytes: Int) {
        meters
            .counter("toucanrelay.fleet.control.bytes", "kind", kind.label, "direction", direction)
            .increment(bytes.toDouble())
        meters.counter("toucanrelay.fleet.control.messages", "kind", kind.label, "direction", direction).increment()
    }
}
