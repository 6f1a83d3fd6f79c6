package toucanrelay.core.lease

/** What a process that wants a lease does next. */
public sealed interface LeaseStep {
    /** Read the row and report with [LeaseSeeker.wasRead] or [LeaseSeeker.hadNoAnswer]. */
    public data object Read : LeaseStep

    /**
     * Write the row and report how that ended.
     *
     * @property record what to write.
     * @property ifVersion the version that the row must have; null when it must not exist.
     */
    public data class Write(
        public val record: LeaseRecord,
        public val ifVersion: String?,
    ) : LeaseStep

    /** Do nothing for [milliseconds]. */
    public data class Wait(
        public val milliseconds: Long,
    ) : LeaseStep
}
