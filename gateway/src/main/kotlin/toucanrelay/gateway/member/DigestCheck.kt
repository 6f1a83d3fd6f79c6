package toucanrelay.gateway.member

/** Largest number that a digest may contain, so that sums over many entries stay within their types. */
private const val MAX_NUMBER = 1_000_000_000_000_000

/** Largest number of a part, which bounds what is kept of a member. */
private const val MAX_PART = 63

private val numbers = 0..MAX_NUMBER

/**
 * Returns the digest without the entries that no member writes: with negative or too large numbers, or with numbers that
 * are not finite. The others hold.
 */
internal fun MemberDigest.withoutOddEntries(): MemberDigest =
    MemberDigest(
        instance = instance,
        incarnation = incarnation,
        sequence = sequence,
        isLeaving = isLeaving,
        loads = loads.filter { it.isUsable() },
        usage = usage.filter { it.demanded >= 0 && it.served >= 0 },
        reads = reads.filter { read -> read.parts.all { it.tokens >= 0 } },
        failureDomain = failureDomain,
        tables = tables.filter { it.ageMilliseconds in numbers && it.era in numbers },
        servedByRegion = servedByRegion.filter { it.served >= 0 },
        crashEvidence = crashEvidence.filter { it.isUsable() },
        isReady = isReady,
        demand = demand.filter { it.requestsPerSecond.toDouble().isUsable() },
        statedLimits = statedLimits.filter { it.isUsable() },
        leavingRuns = leavingRuns.filter { it.incarnation in numbers },
        streamOrigins = streamOrigins.filter { origin -> origin.streams.all { it.remainingMilliseconds in numbers } },
        versions = versions.filter { it.agoMilliseconds in numbers && it.ageMilliseconds in numbers },
        knowsVersions = knowsVersions,
        part = part.coerceIn(0, MAX_PART),
        parts = parts.coerceIn(1, MAX_PART + 1),
    )

private fun TargetLoadEntry.isUsable() =
    requests >= 0 && unreadTokens in numbers && memoryTokens in numbers && readTokensPerSecond >= 0

private fun CrashEvidenceEntry.isUsable() =
    crashes.all { it.agoMilliseconds in numbers } && (answeredAgoMilliseconds ?: 0) in numbers

private fun StatedLimitEntry.isUsable() = agoMilliseconds in numbers && (requestsPerSecond ?: 0.0).isUsable()

private fun Double.isUsable() = this >= 0 && this <= MAX_NUMBER
