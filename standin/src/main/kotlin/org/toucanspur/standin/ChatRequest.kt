/*
 * Text of the stand-in engine's completions. It depends on the request alone, so that
 * another engine can resume a response.
 */
package org.toucanspur.standin

import kotlin.random.Random
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.toucanspur.core.membership.stableHash

private const val DEFAULT_TOKENS = 32
private const val MAX_TOKENS = 100_000
private val arabic = Regex("\\p{IsArabic}")
private val arabicWords =
    listOf("مرحبا", "قطة", "الحجز", "متاح", "شكرا", "الساعة", "ودود", "التبني", "من", "في")
private val englishWords =
    listOf("the", "cat", "slot", "is", "free", "calm", "at", "noon", "please", "note")

/** The fields of a chat completion request that the stand-in supports. */
internal class ChatRequest(body: String) {
    private val json = Json.parseToJsonElement(body).jsonObject
    private val prompt = json["messages"]?.jsonArray?.toString().orEmpty()

    /** Whether the response is streamed. */
    val isStreamed: Boolean = json["stream"]?.jsonPrimitive?.content == "true"

    /** Number of words in the response. */
    val tokens: Int = (json["max_tokens"]?.jsonPrimitive?.int ?: DEFAULT_TOKENS).coerceIn(
        1,
        MAX_TOKENS
    )

    /** Requested model. */
    val model: String = json["model"]?.jsonPrimitive?.content.orEmpty()

    /** Whether the request makes the engine crash. */
    val isPoison: Boolean = "poison-pill" in prompt

    private val words = if (arabic.containsMatchIn(prompt)) arabicWords else englishWords
    private val promptHash = stableHash(prompt)

    /** Id of the completion. */
    val completionId: String = "chatcmpl-${promptHash.toULong().toString(radix = 16)}"

    /** The word at [index]. */
    fun word(index: Int): String = words[Random(promptHash + index).nextInt(words.size)]

    /** The stream event at [index]; the event after the last word is the end marker. */
    fun streamEvent(index: Int): String = if (index < tokens) {
        "data: ${chunkJson(word(index) + " ")}\n\n"
    } else {
        "data: [DONE]\n\n"
    }

    private fun chunkJson(content: String): String = buildJsonObject {
        put("id", completionId)
        put("object", "chat.completion.chunk")
        put("model", model)
        put(
            "choices",
            buildJsonArray {
                add(
                    buildJsonObject {
                        put("index", 0)
                        put("delta", buildJsonObject { put("content", JsonPrimitive(content)) })
                    }
                )
            }
        )
    }.toString()

    /** The complete response for a request that is not streamed. */
    fun completionJson(): String = buildJsonObject {
        put("id", completionId)
        put("object", "chat.completion")
        put("model", model)
        put(
            "choices",
            buildJsonArray {
                add(
                    buildJsonObject {
                        put("index", 0)
                        put(
                            "message",
                            buildJsonObject {
                                put("role", "assistant")
                                put("content", (0 until tokens).joinToString(" ") { word(it) })
                            }
                        )
                    }
                )
            }
        )
    }.toString()
}
