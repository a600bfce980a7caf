/*
 * Text that the stand-in engine answers with. It depends on the release and the request only, so
 * that an answer can be continued at another engine.
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

private const val TOKENS_DEFAULT = 32
private const val TOKENS_MAX = 100_000
private val arabic = Regex("\\p{IsArabic}")
private val arabicWords =
    listOf("مرحبا", "قطة", "الحجز", "متاح", "شكرا", "الساعة", "ودود", "التبني", "من", "في")
private val englishWords =
    listOf("the", "cat", "slot", "is", "free", "calm", "at", "noon", "please", "note")

/** A chat completion request, as far as the stand-in reads it. */
internal class ChatRequest(body: String) {
    private val json = Json.parseToJsonElement(body).jsonObject
    private val prompt = json["messages"]?.jsonArray?.toString().orEmpty()

    /** Whether the answer is streamed. */
    val isStreamed: Boolean = json["stream"]?.jsonPrimitive?.content == "true"

    /** Number of words to answer with. */
    val tokens: Int = (json["max_tokens"]?.jsonPrimitive?.int ?: TOKENS_DEFAULT).coerceIn(
        1,
        TOKENS_MAX
    )

    /** Model that was asked for. */
    val model: String = json["model"]?.jsonPrimitive?.content.orEmpty()

    /** Whether the request makes the engine crash. */
    val isPoison: Boolean = "poison-pill" in prompt

    private val words = if (arabic.containsMatchIn(prompt)) arabicWords else englishWords
    private val seed = stableHash(prompt)

    /** Id of the completion. */
    val completionId: String = "chatcmpl-${seed.toULong().toString(radix = 16)}"

    /** The word at [index]. */
    fun word(index: Int): String = words[Random(seed + index).nextInt(words.size)]

    /** The event of the stream at [index]; the one after the last word ends it. */
    fun event(index: Int): String = if (index < tokens) {
        "data: ${chunk(word(index) + " ")}\n\n"
    } else {
        "data: [DONE]\n\n"
    }

    private fun chunk(content: String): String = buildJsonObject {
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

    /** The whole answer as one document. */
    fun whole(): String = buildJsonObject {
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
