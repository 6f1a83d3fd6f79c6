package toucanrelay.core.identity

/**
 * Interchangeable targets: all that serve one model, one adapter of a model, or one plain service.
 *
 * @property name `model`, `model+adapter` or `service:name`, as it stands on the wire.
 */
@JvmInline
public value class Pool private constructor(
    public val name: String,
) : Comparable<Pool> {
    /** Whether the pool serves a plain service. */
    public val isService: Boolean
        get() = name.startsWith(SERVICE_PREFIX)

    override fun compareTo(other: Pool): Int = name.compareTo(other.name)

    override fun toString(): String = name

    public companion object {
        private const val SERVICE_PREFIX = "service:"
        private const val ADAPTER_SEPARATOR = "+"

        /** The pool of targets that serve [model], with [adapter] when it is given. */
        public fun ofModel(model: String, adapter: String? = null): Pool =
            Pool(if (adapter.isNullOrEmpty()) model else model + ADAPTER_SEPARATOR + adapter)

        /** The pool of targets that run the plain service [service]. */
        public fun ofService(service: String): Pool = Pool(SERVICE_PREFIX + service)

        /** The pool with this [name] on the wire. */
        public fun named(name: String): Pool = Pool(name)
    }
}
