package topazvale.wire

import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException

/** A body that is not what the protocol asks for; [message] is fit for the sender's eyes. */
class MalformedException(message: String) : Exception(message)

/** CBOR bodies as plain maps, lists, text, numbers and booleans. */
object Cbor {
    private val factory = CBORFactory()
    private const val MAX_DEPTH = 32

    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    fun decodeMap(bytes: ByteArray): Map<String, Any?> {
        val value = try {
            factory.createParser(bytes).use { parser ->
                parser.nextToken()
                val top = read(parser, 0)
                if (parser.nextToken() != null) throw MalformedException("more than one value")
                top
            }
        } catch (e: JsonProcessingException) {
            throw MalformedException("not CBOR")
        } catch (e: IOException) {
            throw MalformedException("not CBOR")
        }
        @Suppress("UNCHECKED_CAST")
        return value as? Map<String, Any?> ?: throw MalformedException("not a map")
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

    private fun read(p: JsonParser, depth: Int): Any? {
        if (depth > MAX_DEPTH) throw MalformedException("nested too deeply")
        return when (p.currentToken()) {
            JsonToken.START_OBJECT -> buildMap {
                while (p.nextToken() != JsonToken.END_OBJECT) {
                    if (p.currentToken() != JsonToken.FIELD_NAME) throw MalformedException("not CBOR")
                    val name = p.currentName()
                    p.nextToken()
                    put(name, read(p, depth + 1))
                }
            }

            JsonToken.START_ARRAY -> buildList {
                while (p.nextToken() != JsonToken.END_ARRAY) add(read(p, depth + 1))
            }

            JsonToken.VALUE_STRING -> p.text

            JsonToken.VALUE_NUMBER_INT ->
                if (p.numberType == JsonParser.NumberType.BIG_INTEGER) p.bigIntegerValue.toDouble() else p.longValue

            JsonToken.VALUE_NUMBER_FLOAT -> p.doubleValue

            JsonToken.VALUE_TRUE -> true

            JsonToken.VALUE_FALSE -> false

            JsonToken.VALUE_NULL -> null

            else -> throw MalformedException("not CBOR")
        }
    }
}
