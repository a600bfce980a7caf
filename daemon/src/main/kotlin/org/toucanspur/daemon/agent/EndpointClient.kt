/*
 * HTTP client for the endpoint on the same VM. It uses the JDK client because that one reads from
 * the connection only as much as the subscriber requests; see
 * docs/decisions/0003-bounded-streams.md.
 */
package org.toucanspur.daemon.agent

import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.net.http.HttpTimeoutException
import java.nio.ByteBuffer
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.future.await
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.HeaderField
import org.toucanspur.schema.ReleaseDigest

private const val CONNECT_TIMEOUT_MILLIS = 1000L
private const val STATUS_TIMEOUT_MILLIS = 2000L
private const val READ_BUFFER_BYTES = 4096

// A status is well below 1 KiB.
private const val STATUS_MAX_BYTES = 64 * 1024

/** Header that requests the continuation of a response from a byte offset. */
const val RESUME_OFFSET_HEADER = "Toucanspur-Resume-Offset"

private val droppedRequestHeaders = setOf(
    "connection", "content-length", "expect", "host", "upgrade", "transfer-encoding",
    "keep-alive", "te", "trailer", "proxy-authorization", "proxy-connection", "accept-encoding"
)
private val droppedResponseHeaders = setOf(
    "connection",
    "content-length",
    "transfer-encoding",
    "keep-alive",
    "upgrade",
    "trailer",
    ":status"
)

/** A request to the endpoint. [resumeOffset] is 0 for a response from its start. */
class EndpointCall(
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val resumeOffset: Long,
    val timeoutMillis: Long
)

/** Response body that is read on demand. */
interface BodySource {
    /** Returns the next bytes, or null at the end; throws [IOException] when the call failed. */
    suspend fun next(): ByteArray?

    /** Cancels the call. */
    fun cancel()
}

/** A response whose body has not been read yet. */
class EndpointResponse(val head: ResponseHead, val body: BodySource)

/**
 * Status that an engine reports. [life] identifies the incarnation of the engine and changes with
 * each restart.
 */
@Serializable
data class EngineStatus(val life: Long, val loaded: ReleaseDigest? = null)

/** Request to load a release whose manifest and chunks are served under the URL [source]. */
@Serializable
data class EngineLoadRequest(
    val release: ReleaseDigest,
    val fencing: FencingNumber,
    val source: String
)

/** Calls one endpoint; throws [IOException] when it does not respond. */
class EndpointClient(private val baseUrl: String) {
    init {
        // Each open response holds a read buffer, so the buffers are kept small.
        System.setProperty("jdk.httpclient.bufsize", READ_BUFFER_BYTES.toString())
    }

    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
        .build()

    /** Sends [call] and returns once the response head has arrived. */
    suspend fun open(call: EndpointCall): EndpointResponse {
        val request = HttpRequest.newBuilder(URI(baseUrl + call.path))
            .method(call.method, HttpRequest.BodyPublishers.ofByteArray(call.body))
            .timeout(Duration.ofMillis(maxOf(1, call.timeoutMillis)))
        call.headers.filter { it.name.lowercase() !in droppedRequestHeaders }
            .forEach { request.header(it.name, it.value) }
        if (call.resumeOffset >
            0
        ) {
            request.header(RESUME_OFFSET_HEADER, call.resumeOffset.toString())
        }
        val response = client.sendAsync(
            request.build(),
            HttpResponse.BodyHandlers.ofPublisher()
        ).await()
        val source = OnDemandBodySubscriber()
        response.body().subscribe(source)
        return EndpointResponse(
            ResponseHead(response.statusCode(), relayedHeaders(response)),
            source
        )
    }

    private fun relayedHeaders(response: HttpResponse<*>): List<HeaderField> =
        response.headers().map().entries
            .filter { it.key.lowercase() !in droppedResponseHeaders }
            .flatMap { (name, values) -> values.map { HeaderField(name, it) } }

    /** Reads the status of the engine. */
    suspend fun status(): EngineStatus {
        val request = HttpRequest.newBuilder(URI("$baseUrl/admin/status")).build()
        val response = exchange(request, STATUS_TIMEOUT_MILLIS, STATUS_MAX_BYTES)
        return try {
            Json.decodeFromString<EngineStatus>(response.body().decodeToString())
        } catch (e: SerializationException) {
            throw IOException("engine status is malformed: ${e.message}", e)
        }
    }

    /** Whether the health check of a service that is not an engine succeeds. */
    suspend fun isHealthy(): Boolean = try {
        val request = HttpRequest.newBuilder(URI("$baseUrl/health")).build()
        exchange(request, STATUS_TIMEOUT_MILLIS, STATUS_MAX_BYTES).statusCode() < HTTP_ERROR
    } catch (_: IOException) {
        false
    }

    /** Requests a load; returns whether the engine accepted it. */
    suspend fun load(loadRequest: EngineLoadRequest, timeoutMillis: Long): Boolean {
        val request = HttpRequest.newBuilder(URI("$baseUrl/admin/load"))
            .header("Content-Type", "application/json")
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    Json.encodeToString(EngineLoadRequest.serializer(), loadRequest)
                )
            )
            .build()
        return exchange(request, timeoutMillis, STATUS_MAX_BYTES).statusCode() < HTTP_ERROR
    }

    // The timeout of the JDK client ends with the head of the response; this one covers its body.
    private suspend fun exchange(
        request: HttpRequest,
        timeoutMillis: Long,
        bodyMaxBytes: Int
    ): HttpResponse<ByteArray> = withTimeoutOrNull(timeoutMillis) {
        client.sendAsync(request) { LimitedBodySubscriber(bodyMaxBytes) }.await()
    } ?: throw HttpTimeoutException("no complete response within $timeoutMillis ms")

    private companion object {
        const val HTTP_ERROR = 400
    }
}

// Fails a body that exceeds the limit.
private class LimitedBodySubscriber(private val maxBytes: Int) :
    HttpResponse.BodySubscriber<ByteArray> {
    private val body = CompletableFuture<ByteArray>()
    private val received = ByteArrayOutputStream()
    private lateinit var subscription: Flow.Subscription

    override fun getBody(): CompletionStage<ByteArray> = body

    override fun onSubscribe(newSubscription: Flow.Subscription) {
        subscription = newSubscription
        newSubscription.request(Long.MAX_VALUE)
    }

    override fun onNext(item: List<ByteBuffer>) {
        if (body.isDone) return
        item.forEach { buffer ->
            val bytes = ByteArray(buffer.remaining())
            buffer.get(bytes)
            received.writeBytes(bytes)
        }
        if (received.size() <= maxBytes) return
        subscription.cancel()
        body.completeExceptionally(IOException("response body exceeds $maxBytes bytes"))
    }

    override fun onError(throwable: Throwable) {
        body.completeExceptionally(throwable)
    }

    override fun onComplete() {
        body.complete(received.toByteArray())
    }
}

// Requests one item at a time, so that a slow reader applies backpressure to the connection.
private class OnDemandBodySubscriber :
    Flow.Subscriber<List<ByteBuffer>>,
    BodySource {
    private val items = Channel<List<ByteBuffer>>(1)
    private val subscribed = Channel<Flow.Subscription>(1)

    @Volatile
    private var subscription: Flow.Subscription? = null

    override fun onSubscribe(newSubscription: Flow.Subscription) {
        subscription = newSubscription
        subscribed.trySend(newSubscription)
    }

    override fun onNext(item: List<ByteBuffer>) {
        items.trySend(item)
    }

    override fun onError(throwable: Throwable) {
        items.close(
            IOException("reading the response body failed: ${throwable.message}", throwable)
        )
    }

    override fun onComplete() {
        items.close()
    }

    override suspend fun next(): ByteArray? {
        val current = subscription ?: subscribed.receive()
        current.request(1)
        val buffers = items.receiveCatching()
        buffers.exceptionOrNull()?.let { throw it }
        return buffers.getOrNull()?.let(::join)
    }

    private fun join(buffers: List<ByteBuffer>): ByteArray {
        val joined = ByteBuffer.allocate(buffers.sumOf { it.remaining() })
        buffers.forEach { joined.put(it) }
        return joined.array()
    }

    override fun cancel() {
        subscription?.cancel()
    }
}
