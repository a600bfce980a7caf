/*
 * A caller's view of an entry, for trials and measurements.
 */
package org.toucanspur.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.utils.io.readRemaining
import java.io.IOException
import kotlinx.io.readString
import org.toucanspur.daemon.entry.IDEMPOTENCY_KEY_HEADER
import org.toucanspur.daemon.entry.ORGANISATION_HEADER
import org.toucanspur.daemon.monotonicMillis

private const val TIMEOUT_MILLIS = 30_000L
private const val CONNECTIONS_MAX = 2000

/** Answer to a caller. */
data class CallerAnswer(
    val status: Int,
    val body: String,
    val firstByteMillis: Long,
    val elapsedMillis: Long,
    val tag: String = ""
) {
    /** Whether the answer is a success. */
    val isOk: Boolean get() = status in 200..299

    /** Whether a refusal states that the request did not run. */
    val saysDidNotRun: Boolean get() = !isOk && "\"ran\":\"no\"" in body
}

/** Client of entries; close it after use. */
class Callers(private val organisation: String) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        engine { maxConnectionsCount = CONNECTIONS_MAX }
        install(HttpTimeout) { requestTimeoutMillis = TIMEOUT_MILLIS }
    }

    /** Asks for a chat completion; the answer has status 0 when the connection broke. */
    suspend fun chat(
        entry: String,
        model: String,
        prompt: String,
        tokens: Int,
        isStreamed: Boolean = true,
        organisation: String = this.organisation
    ): CallerAnswer {
        val body = """{"model":"$model","stream":$isStreamed,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"$prompt"}]}"""
        val startMillis = monotonicMillis()
        return try {
            http.preparePost("$entry/v1/chat/completions") {
                contentType(ContentType.Application.Json)
                header(ORGANISATION_HEADER, organisation)
                setBody(body)
            }.execute { response ->
                val channel = response.bodyAsChannel()
                channel.awaitContent()
                val firstMillis = monotonicMillis() - startMillis
                val text = channel.readRemaining().readString()
                CallerAnswer(
                    response.status.value,
                    text,
                    firstMillis,
                    monotonicMillis() - startMillis
                )
            }
        } catch (e: IOException) {
            CallerAnswer(0, "${e.message}", 0, monotonicMillis() - startMillis)
        }
    }

    /** Calls a plain service. */
    suspend fun service(
        entry: String,
        method: String,
        path: String,
        body: String = "",
        key: String? = null
    ): CallerAnswer {
        val startMillis = monotonicMillis()
        return try {
            val response = http.request("$entry/services/$path") {
                this.method = HttpMethod.parse(method)
                header(ORGANISATION_HEADER, organisation)
                if (key != null) header(IDEMPOTENCY_KEY_HEADER, key)
                if (body.isNotEmpty()) setBody(body)
            }
            val text = response.bodyAsText()
            val elapsed = monotonicMillis() - startMillis
            CallerAnswer(response.status.value, text, elapsed, elapsed, body)
        } catch (e: IOException) {
            CallerAnswer(0, "${e.message}", 0, monotonicMillis() - startMillis, body)
        }
    }

    override fun close() = http.close()
}

/** Whether a streamed completion is whole. */
fun isWholeStream(answer: CallerAnswer): Boolean =
    answer.isOk && answer.body.endsWith("data: [DONE]\n\n")
