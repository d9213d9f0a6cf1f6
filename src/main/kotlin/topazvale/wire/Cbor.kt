package topazvale.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** A body that is not what the protocol asks for; [message] is fit for the sender's eyes. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** CBOR bodies as plain maps, lists, text, numbers and booleans. */
object Cbor {
    private val factory = CBORFactory()
    private const val MAX_DEPTH = 32

    /** Most bodies are smaller. */
    private const val USUAL_BYTES = 256

    /** The bytes of maps, lists, text, numbers, booleans and null. */
    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(USUAL_BYTES)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** A body whose only value is a map; throws for any other. */
    fun decodeMap(bytes: ByteArray): Map<String, Any?> {
        val value = try {
            factory.createParser(bytes).use { parser ->
                parser.nextToken()
                val top = read(parser, 0)
                if (parser.nextToken() != null) malformed("more than one value")
                top
            }
        } catch (e: IOException) {
            malformed("not CBOR", e)
        }
        @Suppress("UNCHECKED_CAST")
        return value as? Map<String, Any?> ?: malformed("not a map")
    }

    private fun write(g: JsonGenerator, value: Any?) {
        when (value) {
            null -> g.writeNull()

            is String -> g.writeString(value)

            is Boolean -> g.writeBoolean(value)

            is Int -> g.writeNumber(value)

            is Long -> g.writeNumber(value)

            is Double -> g.writeNumber(value)

            is Map<*, *> -> {
                g.writeStartObject(value, value.size)
                for ((k, v) in value) {
                    g.writeFieldName(k as String)
                    write(g, v)
                }
                g.writeEndObject()
            }

            is List<*> -> {
                g.writeStartArray(value, value.size)
                for (v in value) write(g, v)
                g.writeEndArray()
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
