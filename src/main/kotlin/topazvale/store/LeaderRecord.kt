package topazvale.store

/** The current leader. The [incarnation] distinguishes a process from the next process of the same member. */
data class LeaderRecord(val member: String, val incarnation: String) {
    /** Encodes the record as it is stored. */
    fun encode(): Map<String, Any?> = mapOf("member" to member, "life" to incarnation)

    companion object {
        fun decode(data: Map<String, Any?>) = LeaderRecord(data["member"] as String, data["life"] as String)
    }
}
