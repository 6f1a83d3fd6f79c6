package toucanrelay.store.bundle

import toucanrelay.core.identity.Pool
import toucanrelay.store.json.JsonProblems

/** Checks constraints and references between the entries of a bundle document. */
internal object BundleRules {
    fun check(document: BundleDocument, problems: JsonProblems) {
        document.targets.forEach { (name, target) -> checkTarget(document, "targets.$name", target, problems) }
        document.organisations.forEach { (name, organisation) ->
            checkPools(document, "organisations.$name.pools", organisation, problems)
        }
        checkKeyDigests(document, problems)
    }

    private fun checkTarget(
        document: BundleDocument,
        path: String,
        target: TargetDocument,
        problems: JsonProblems,
    ) {
        if (target.coldSlots > target.slots) {
            problems.report("$path.coldSlots", "found ${target.coldSlots}; allowed is at most slots, ${target.slots}")
        }
        if (target.pools.isEmpty()) problems.report("$path.pools", "found no pool; allowed is one or more")
        checkFailureDomain(document, path, target, problems)
        checkServices(document, path, target, problems)
    }

    private fun checkFailureDomain(
        document: BundleDocument,
        path: String,
        target: TargetDocument,
        problems: JsonProblems,
    ) {
        val failureDomain = document.failureDomains[target.failureDomain]
        if (failureDomain == null) {
            val allowed = document.failureDomains.keys.sorted()
            problems.report("$path.failureDomain", "found \"${target.failureDomain}\"; allowed is one of $allowed")
        } else if (failureDomain.region != target.region) {
            val expected = "the region of ${target.failureDomain}, \"${failureDomain.region}\""
            problems.report("$path.region", "found \"${target.region}\"; allowed is $expected")
        }
    }

    private fun checkServices(
        document: BundleDocument,
        path: String,
        target: TargetDocument,
        problems: JsonProblems,
    ) {
        val servicePools = document.services.keys.mapTo(mutableSetOf()) { Pool.ofService(it).name }
        target.pools.filter { Pool.named(it).isService && it !in servicePools }.forEach {
            problems.report("$path.pools", "found \"$it\"; allowed are the services ${servicePools.sorted()}")
        }
    }

    private fun checkPools(
        document: BundleDocument,
        path: String,
        organisation: OrganisationDocument,
        problems: JsonProblems,
    ) {
        val served = document.targets.values.flatMapTo(mutableSetOf()) { it.pools }
        organisation.pools.orEmpty().filter { it !in served }.forEach {
            problems.report(path, "found \"$it\"; allowed are pools that a target serves, ${served.sorted()}")
        }
    }

    private fun checkKeyDigests(document: BundleDocument, problems: JsonProblems) {
        val owners = mutableMapOf<String, String>()
        document.organisations.forEach { (name, organisation) ->
            organisation.keyDigests.forEachIndexed { index, digest ->
                val owner = owners.putIfAbsent(digest, name) ?: return@forEachIndexed
                val path = "organisations.$name.keyDigests[$index]"
                problems.report(path, "found the digest of a key of \"$owner\"; allowed is each digest once")
            }
        }
    }
}
