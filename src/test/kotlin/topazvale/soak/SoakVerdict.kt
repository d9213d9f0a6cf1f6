package topazvale.soak

import topazvale.KnownRed

/** What is made of one run. */
enum class SeedVerdict(val text: String) {
    PASSED("passed"),
    FAILED("FAILED"),
    KNOWN_RED("KNOWN RED, passed over"),
    KNOWN_RED_PASSES("passed, and is listed as KNOWN RED"),
}

/** Judges the runs of a command by the list of known failures. */
class SoakVerdict(known: List<KnownRed>, command: SoakCommand) {
    /** Those listed under a command that plays the same: another workload or other troubles are another case. */
    private val listed = known.filter { it.soakSeed != null && SoakCommand.parse(it.command).playsLike(command) }
        .associateBy { it.soakSeed }

    /** The verdict on a seed's [failures]. */
    fun of(seed: Long, failures: List<String>): SeedVerdict {
        val red = listed[seed]
        return when {
            red == null -> if (failures.isEmpty()) SeedVerdict.PASSED else SeedVerdict.FAILED
            failures.isEmpty() -> SeedVerdict.KNOWN_RED_PASSES
            failures.all { it.substringBefore(':') in red.kinds } -> SeedVerdict.KNOWN_RED
            else -> SeedVerdict.FAILED
        }
    }
}
