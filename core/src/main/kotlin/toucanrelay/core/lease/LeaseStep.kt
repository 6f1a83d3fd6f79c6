package toucanrelay.core.lease

/** The next step of a process that acquires or renews a lease. */
public sealed interface LeaseStep {
    /** Read the row and report with [LeaseStateMachine.onRead] or [LeaseStateMachine.onNoAnswer]. */
    public data object Read : LeaseStep

    /**
     * Write the row and report the outcome.
     *
     * @property record the record to write.
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
