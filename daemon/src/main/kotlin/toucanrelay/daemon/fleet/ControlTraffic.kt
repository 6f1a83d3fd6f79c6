package toucanrelay.daemon.fleet

import io.micrometer.core.instrument.MeterRegistry

/**
 * Kind of a control message between processes.
 *
 * @property label the value of the counter's `kind` tag.
 */
public enum class ControlKind(
    public val label: String,
) {
    /** First message of a link. */
    HELLO("hello"),

    /** Liveness signal with the bundle version. */
    HEARTBEAT("heartbeat"),

    /** Batch of service increments, totals and backlog. */
    SERVICE("service"),

    /** Request for a bundle, or the bundle itself. */
    BUNDLE("bundle"),

    /** Instances that are leaving. */
    LEAVING("leaving"),

    /** Demand of an entry. */
    DEMAND("demand"),

    /** Grants, capacity or cache changes of an agent. */
    CAPACITY("capacity"),
}

/**
 * Counts control messages and their bytes by kind and direction.
 *
 * The metrics are `toucanrelay.fleet.control.messages` and `toucanrelay.fleet.control.bytes`.
 */
public class ControlTraffic(
    private val meters: MeterRegistry,
) {
    /** Records a message of [bytes] bytes that this process sent. */
    public fun recordSent(kind: ControlKind, bytes: Int) {
        count(kind, "sent", bytes)
    }

    /** Records a message of [bytes] bytes that this process received. */
    public fun recordReceived(kind: ControlKind, bytes: Int) {
        count(kind, "received", bytes)
    }

    private fun count(kind: ControlKind, direction: String, bytes: Int) {
        meters
            .counter("toucanrelay.fleet.control.bytes", "kind", kind.label, "direction", direction)
            .increment(bytes.toDouble())
        meters.counter("toucanrelay.fleet.control.messages", "kind", kind.label, "direction", direction).increment()
    }
}
