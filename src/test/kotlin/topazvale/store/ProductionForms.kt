package topazvale.store

/** The stored and sent bytes of the version in production, read from `production-forms.txt`. */
object ProductionForms {
    private val samples: Map<String, ByteArray> by lazy {
        val text = checkNotNull(javaClass.getResource("production-forms.txt")).readText()
        text.lines()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .associate { line -> line.substringBefore(' ') to bytesOf(line.substringAfter(' ')) }
    }

    fun bytes(name: String): ByteArray = samples.getValue(name)

    fun hex(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }

    private fun bytesOf(hex: String): ByteArray = hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
}
