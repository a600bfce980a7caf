/*
 * HTTP client of the entries, for the trial run, the measurements and the end-to-end tests.
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

private const val REQUEST_TIMEOUT_MILLIS = 30_000L
private const val CONNECTIONS_MAX = 2000

/** Response of an entry; [status] is 0 if the connection failed. */
data class EntryResponse(
    val status: Int,
    val body: String,
    val firstByteMillis: Long,
    val elapsedMillis: Long,
    val requestBody: String = ""
) {
    val isOk: Boolean get() = status in 200..299

    /** Whether an error response states that the request was not executed. */
    val declaresNotExecuted: Boolean get() = !isOk && "\"ran\":\"no\"" in body
}

/** Client of the entries on behalf of [organisation]; close it after use. */
class EntryClient(private val organisation: String) : AutoCloseable {
    private val http = HttpClient(CIO) {
        expectSuccess = false
        engine { maxConnectionsCount = CONNECTIONS_MAX }
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS }
    }

    /** Requests a chat completion; the response has status 0 if the connection failed. */
    suspend fun chat(
        entry: String,
        model: String,
        prompt: String,
        tokens: Int,
        isStreamed: Boolean = true,
        organisation: String = this.organisation
    ): EntryResponse {
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
                val firstByteMillis = monotonicMillis() - startMillis
                val responseBody = channel.readRemaining().readString()
                EntryResponse(
                    response.status.value,
                    responseBody,
                    firstByteMillis,
                    monotonicMillis() - startMillis
                )
            }
        } catch (e: IOException) {
            EntryResponse(0, "${e.message}", 0, monotonicMillis() - startMillis)
        }
    }

    /** Calls a plain service; the response has status 0 if the connection failed. */
    suspend fun service(
        entry: String,
        method: String,
        path: String,
        body: String = "",
        key: String? = null
    ): EntryResponse {
        val startMillis = monotonicMillis()
        return try {
            val response = http.request("$entry/services/$path") {
                this.method = HttpMethod.parse(method)
                header(ORGANISATION_HEADER, organisation)
                if (key != null) header(IDEMPOTENCY_KEY_HEADER, key)
                if (body.isNotEmpty()) setBody(body)
            }
            val responseBody = response.bodyAsText()
            val elapsedMillis = monotonicMillis() - startMillis
            EntryResponse(response.status.value, responseBody, elapsedMillis, elapsedMillis, body)
        } catch (e: IOException) {
            EntryResponse(0, "${e.message}", 0, monotonicMillis() - startMillis, body)
        }
    }

    override fun close() = http.close()
}

/** Whether a streamed completion succeeded and ends with its final event. */
fun isCompleteStream(response: EntryResponse): Boolean =
    response.isOk && response.body.endsWith("data: [DONE]\n\n")
