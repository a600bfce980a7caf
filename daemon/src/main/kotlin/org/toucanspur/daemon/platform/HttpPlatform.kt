/*
 * HTTP clients for the platform's services. Conditional updates use `If-Match` and
 * `If-None-Match` (RFC 9110); `ETag` carries the version of an object.
 */
package org.toucanspur.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.client.statement.readRawBytes
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPath
import io.ktor.http.isSuccess
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.core.platform.VmList
import org.toucanspur.core.platform.WeightStore
import org.toucanspur.schema.ObjectRecord
import org.toucanspur.schema.VmRecord

private const val WATCH_TIMEOUT_MARGIN_MILLIS = 2000L
private const val BLOB_TIMEOUT_MULTIPLIER = 10
private const val SERVER_ERROR_STATUS_MIN = 500

/** Creates an HTTP client for the platform's services; the caller closes it. */
fun platformHttpClient(timeoutMillis: Long): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    install(HttpTimeout) {
        requestTimeoutMillis = timeoutMillis
        connectTimeoutMillis = timeoutMillis
    }
}

/** Client of the object API at [baseUrl]. */
class HttpObjectStore(private val client: HttpClient, private val baseUrl: String) : ObjectStore {
    override suspend fun read(key: String): Result<ObjectRecord?, StoreError> =
        catchErrors { readObject(client.get(url(key)), key) }

    override suspend fun write(
        key: String,
        value: String,
        expectedVersion: Long
    ): Result<Long, StoreError> = catchErrors(mayHaveEffect = true) {
        val response = client.put(url(key)) {
            if (expectedVersion == ABSENT_VERSION) {
                header(HttpHeaders.IfNoneMatch, "*")
            } else {
                header(HttpHeaders.IfMatch, "\"$expectedVersion\"")
            }
            setBody(value)
        }
        when {
            response.status == HttpStatusCode.PreconditionFailed -> Err(StoreError.Conflict(key))
            response.status.isSuccess() -> Ok(versionOf(response))
            response.status.value < SERVER_ERROR_STATUS_MIN -> Err(statusError(response))
            else -> Err(StoreError.OutcomeUnknown("status ${response.status.value}"))
        }
    }

    override suspend fun watch(
        key: String,
        aboveVersion: Long,
        waitMillis: Long
    ): Result<ObjectRecord?, StoreError> = catchErrors {
        val response = client.get(url(key)) {
            parameter("aboveVersion", aboveVersion)
            parameter("waitMillis", waitMillis)
            timeout { requestTimeoutMillis = waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS }
        }
        if (response.status == HttpStatusCode.NotModified) Ok(null) else readObject(response, key)
    }

    override suspend fun list(prefix: String): Result<List<ObjectRecord>, StoreError> =
        catchErrors {
            val response = client.get("$baseUrl/objects") { parameter("prefix", prefix) }
            if (response.status.isSuccess()) {
                Ok(Json.decodeFromString<List<ObjectRecord>>(response.bodyAsText()))
            } else {
                Err(statusError(response))
            }
        }

    private suspend fun readObject(
        response: HttpResponse,
        key: String
    ): Result<ObjectRecord?, StoreError> = when {
        response.status == HttpStatusCode.NotFound -> Ok(null)
        response.status.isSuccess() -> Ok(
            ObjectRecord(key, versionOf(response), response.bodyAsText())
        )
        else -> Err(statusError(response))
    }

    private fun versionOf(response: HttpResponse): Long =
        response.headers[HttpHeaders.ETag]?.trim('"')?.toLongOrNull()
            ?: throw SerializationException("object API response has no valid ETag version")

    private fun url(key: String): String = "$baseUrl/objects/${key.encodeURLPath()}"
}

/** Client of the VM list at [url]. */
class HttpVmList(private val client: HttpClient, private val url: String) : VmList {
    override suspend fun read(): Result<List<VmRecord>, StoreError> = catchErrors {
        val response = client.get(url)
        if (response.status.isSuccess()) {
            Ok(Json.decodeFromString<List<VmRecord>>(response.bodyAsText()))
        } else {
            Err(statusError(response))
        }
    }
}

/** Client of the weight store at [baseUrl]. */
class HttpWeightStore(
    private val client: HttpClient,
    private val baseUrl: String,
    private val timeoutMillis: Long
) : WeightStore {
    override suspend fun fetch(digest: String): Result<ByteArray, StoreError> = catchErrors {
        val response = client.get("$baseUrl/blobs/$digest") { extendTimeout() }
        if (response.status.isSuccess()) Ok(response.readRawBytes()) else Err(statusError(response))
    }

    private fun HttpRequestBuilder.extendTimeout() = timeout {
        requestTimeoutMillis = timeoutMillis * BLOB_TIMEOUT_MULTIPLIER
    }
}

private fun statusError(response: HttpResponse): StoreError =
    StoreError.Unavailable("status ${response.status.value}")

private suspend fun <T> catchErrors(
    mayHaveEffect: Boolean = false,
    block: suspend () -> Result<T, StoreError>
): Result<T, StoreError> = try {
    block()
} catch (e: ConnectException) {
    Err(StoreError.Unavailable(e.message.orEmpty()))
} catch (e: UnresolvedAddressException) {
    Err(StoreError.Unavailable(e.message.orEmpty()))
} catch (e: IOException) {
    Err(transportError(mayHaveEffect, e))
} catch (e: SerializationException) {
    Err(transportError(mayHaveEffect, e))
}

private fun transportError(mayHaveEffect: Boolean, cause: Exception): StoreError {
    val reason = cause.message ?: cause.javaClass.simpleName
    return if (mayHaveEffect) StoreError.OutcomeUnknown(reason) else StoreError.Unavailable(reason)
}
