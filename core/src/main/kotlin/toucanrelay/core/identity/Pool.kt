package toucanrelay.core.identity

/**
 * A pool of interchangeable targets: all that serve one model, one adapter of a model, or one plain service.
 *
 * @property name `model`, `model+adapter` or `service:name`; also the name on the wire.
 */
@JvmInline
public value class Pool private constructor(
    public val name: String,
) : Comparable<Pool> {
    /** Whether the targets of the pool run a plain service. */
    public val isService: Boolean
        get() = name.startsWith(SERVICE_PREFIX)

    override fun compareTo(other: Pool): Int = name.compareTo(other.name)

    override fun toString(): String = name

    public companion object {
        private const val SERVICE_PREFIX = "service:"
        private const val ADAPTER_SEPARATOR = "+"

        /** Returns the pool of targets that serve [model], with [adapter] if given. */
        public fun ofModel(model: String, adapter: String? = null): Pool =
            Pool(if (adapter.isNullOrEmpty()) model else model + ADAPTER_SEPARATOR + adapter)

        /** Returns the pool of targets that run the plain service [service]. */
        public fun ofService(service: String): Pool = Pool(SERVICE_PREFIX + service)

        /** Returns the pool with this [name] on the wire. */
        public fun named(name: String): Pool = Pool(name)
    }
}
