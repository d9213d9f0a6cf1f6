package topazvale.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Thrown for a body that violates the protocol. The [message] may be shown to the sender of the body. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** Encodes and decodes CBOR bodies as plain maps, lists, strings, numbers and booleans. */
object Cbor {
    private val factory = CBORFactory()
    private const val MAX_DEPTH = 32

    /** Most bodies are smaller than this. */
    private const val INITIAL_BUFFER_BYTES = 256

    /** Encodes a value that consists of maps, lists, strings, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** Decodes a body whose only value is a map; throws [MalformedException] for any other. */
    fun decodeMap(bytes: ByteArray): Map<String, Any?> {
        val value = try {
            factory.createParser(bytes).use { parser ->
                parser.nextToken()
                val root = read(parser, 0)
                if (parser.nextToken() != null) malformed("more than one value")
                root
            }
        } catch (e: IOException) {
            malformed("not CBOR", e)
        }
        @Suppress("UNCHECKED_CAST")
        return value as? Map<String, Any?> ?: malformed("not a map")
    }

    private fun write(generator: JsonGenerator, value: Any?) {
        when (value) {
            null -> generator.writeNull()

            is String -> generator.writeString(value)

            is Boolean -> generator.writeBoolean(value)

            is Int -> generator.writeNumber(value)

            is Long -> generator.writeNumber(value)

            is Double -> generator.writeNumber(value)

            is Map<*, *> -> {
                generator.writeStartObject(value, value.size)
                for ((key, element) in value) {
                    generator.writeFieldName(key as String)
                    write(generator, element)
                }
                generator.writeEndObject()
            }

            is List<*> -> {
                generator.writeStartArray(value, value.size)
                for (element in value) write(generator, element)
                generator.writeEndArray()
            }

            else -> error("no CBOR form for ${value::class}")
        }
    }

    private fun read(parser: JsonParser, depth: Int): Any? {
        if (depth > MAX_DEPTH) malformed("nested too deeply")
        return when (parser.currentToken()) {
            JsonToken.START_OBJECT -> readMap(parser, depth)
            JsonToken.START_ARRAY -> readList(parser, depth)
            JsonToken.VALUE_STRING -> parser.text
            JsonToken.VALUE_NUMBER_INT -> readInteger(parser)
            JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NULL -> null
            else -> malformed("not CBOR")
        }
    }

    private fun readMap(parser: JsonParser, depth: Int): Map<String, Any?> = buildMap {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            if (parser.currentToken() != JsonToken.FIELD_NAME) malformed("not CBOR")
            val name = parser.currentName()
            parser.nextToken()
            put(name, read(parser, depth + 1))
        }
    }

    private fun readList(parser: JsonParser, depth: Int): List<Any?> = buildList {
        while (parser.nextToken() != JsonToken.END_ARRAY) add(read(parser, depth + 1))
    }

    private fun readInteger(parser: JsonParser): Number = if (parser.numberType ==
        JsonParser.NumberType.BIG_INTEGER
    ) {
        parser.bigIntegerValue.toDouble()
    } else {
        parser.longValue
    }

    private fun malformed(message: String, cause: IOException? = null): Nothing =
        throw MalformedException(message, cause)
}
