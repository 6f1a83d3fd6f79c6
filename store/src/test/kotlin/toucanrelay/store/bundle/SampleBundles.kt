package toucanrelay.store.bundle

/** Returns a valid document with two organisations, one model target, one service target and two failure domains. */
fun sampleDocument(depotShare: Double = 4.0): BundleDocument =
    BundleDocument(
        organisations =
            mapOf(
                "depot" to OrganisationDocument(share = depotShare, keyDigests = listOf("a".repeat(64))),
                "van" to
                    OrganisationDocument(share = 1.0, keyDigests = listOf("b".repeat(64)), pools = listOf("briefing")),
            ),
        targets =
            mapOf(
                "model-1" to TargetDocument("east", "east-1", listOf("briefing", "briefing+notes"), 8, 2),
                "drops-1" to TargetDocument("west", "west-1", listOf("service:drops"), 4, 4),
            ),
        services = mapOf("drops" to ServiceDocument()),
        failureDomains =
            mapOf("east-1" to FailureDomainDocument("east"), "west-1" to FailureDomainDocument("west")),
    )
