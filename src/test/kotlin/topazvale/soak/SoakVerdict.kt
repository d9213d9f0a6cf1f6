package topazvale.soak

import topazvale.KnownRed

/** The verdict on one run. */
enum class SeedVerdict(val text: String) {
    PASSED("passed"),
    FAILED("FAILED"),
    KNOWN_RED("KNOWN RED, passed over"),
    KNOWN_RED_PASSES("passed, and is listed as KNOWN RED"),
}

/** Determines the verdict on each run of a command from its failures and the list of known failures. */
class SoakVerdict(known: List<KnownRed>, command: SoakCommand) {
    /** The known failures of equivalent commands by seed; another workload or other faults make another case. */
    private val knownBySeed = known
        .filter { it.soakSeed != null && SoakCommand.parse(it.command).isEquivalentTo(command) }
        .associateBy { it.soakSeed }

    /** Returns the verdict on the [failures] of a seed. */
    fun of(seed: Long, failures: List<String>): SeedVerdict {
        val knownFailure = knownBySeed[seed]
        return when {
            knownFailure == null -> if (failures.isEmpty()) SeedVerdict.PASSED else SeedVerdict.FAILED
            failures.isEmpty() -> SeedVerdict.KNOWN_RED_PASSES
            failures.all { it.substringBefore(':') in knownFailure.kinds } -> SeedVerdict.KNOWN_RED
            else -> SeedVerdict.FAILED
        }
    }
}
