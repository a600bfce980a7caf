/*
 * HTTP routes for callers: chat completions, the list of models, and services.
 */
package org.toucanspur.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.Delivery
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.HeaderField
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.OrganisationPriority
import org.toucanspur.schema.PoolSection
import org.toucanspur.schema.Priority
import org.toucanspur.schema.Ran
import org.toucanspur.schema.RequestId

/** Header that identifies the caller's organisation. */
const val ORGANISATION_HEADER = "Toucanspur-Organisation"

/** Header with the timeout of a request in milliseconds. */
const val DEADLINE_HEADER = "Toucanspur-Deadline-Millis"

/** Response header with the request id. */
const val REQUEST_ID_HEADER = "Toucanspur-Request-Id"

/** Header with the caller's idempotency key. */
const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

private const val BYTES_PER_KIB = 1024L
private const val KEY_MAX_CHARS = 255
private const val ROUTING_PREFIX_CHARS = 512
private const val BODY_READ_TIMEOUT_MILLIS = 30_000L
private val unsafePath = Regex("(^|/)\\.\\.?(/|$)|\\\\|%2e|%2f|%5c|%00|//", RegexOption.IGNORE_CASE)
private val idempotencyKeyPattern = Regex("[\\x21-\\x7e]{1,$KEY_MAX_CHARS}")

/** Services of the entry that the routes use. */
interface CallerContext {
    /** Dispatcher for accepted requests. */
    val dispatcher: Dispatcher

    /** Event log of the process. */
    val events: EventLog

    /** The active configuration, or null before the first document is loaded. */
    fun configuration(): EnvironmentConfiguration?

    /**
     * Runs [block] and counts its request as open until it returns. Returns false without running
     * [block] if the entry is draining.
     */
    suspend fun track(block: suspend () -> Unit): Boolean
}

/** Adds the routes for callers. */
fun Route.callerRoutes(context: CallerContext) {
    val handler = CallerHandler(context)
    post("/v1/chat/completions") { handler.handle(call, handler::resolveChat) }
    get("/v1/models") { handler.listModels(call) }
    route("/services/{name}/{path...}") { handle { handler.handle(call, handler::resolveService) } }
}

private typealias TargetResolver =
    suspend (ApplicationCall, ReceivedRequest) -> Result<CallerRequest, Problem>

/** A request with checked headers and a complete body, before its target pool is resolved. */
private class ReceivedRequest(
    val id: RequestId,
    val configuration: EnvironmentConfiguration,
    val organisation: OrganisationId,
    val priority: Priority,
    val body: ByteArray,
    val deadlineMillis: Long
)

private class CallerHandler(private val context: CallerContext) {
    suspend fun handle(call: ApplicationCall, resolve: TargetResolver) {
        val id = newRequestId()
        call.response.headers.append(REQUEST_ID_HEADER, id.value)
        val accepted = context.track {
            receive(call, id).fold(
                success = { received ->
                    resolve(call, received).fold(
                        success = { dispatch(call, it) },
                        failure = { reject(call, it, id) }
                    )
                },
                failure = { reject(call, it, id) }
            )
        }
        if (!accepted) {
            reject(
                call,
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "the entry is shutting down; retry",
                    retryAfterMillis = 1
                ),
                id
            )
        }
    }

    private suspend fun reject(call: ApplicationCall, problem: Problem, id: RequestId) {
        context.events.event(EventCode.REQUEST_REFUSED, EventSubject(requestId = id)) {
            problem.detail
        }
        call.respondProblem(problem, id)
    }

    private suspend fun receive(
        call: ApplicationCall,
        id: RequestId
    ): Result<ReceivedRequest, Problem> {
        val configuration = context.configuration()
            ?: return Err(
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "no configuration is active yet; retry",
                    retryAfterMillis = 1
                )
            )
        headerError(call)?.let { return Err(badRequest(it)) }
        val organisation = call.request.headers[ORGANISATION_HEADER].orEmpty()
        val section = configuration.organisations.find { it.id.value == organisation }
        if (section == null && configuration.organisations.isNotEmpty()) {
            val detail = "organisation \"${printable(
                organisation
            )}\" is not declared; name yours in $ORGANISATION_HEADER"
            return Err(Problem(ProblemKind.UNKNOWN_ORGANISATION, detail))
        }
        val maxBytes = configuration.environment.bodyMaxKib * BYTES_PER_KIB
        val body = readBody(call, maxBytes)
            ?: return Err(
                Problem(
                    ProblemKind.BODY_TOO_LARGE,
                    "body exceeds $maxBytes bytes or was received too slowly; send less"
                )
            )
        val timeoutMillis = call.request.headers[DEADLINE_HEADER]?.toLongOrNull()
            ?: configuration.environment.deadlineMillis.toLong()
        return Ok(
            ReceivedRequest(
                id,
                configuration,
                OrganisationId(organisation),
                requestPriority(section?.priority),
                body,
                monotonicMillis() +
                    timeoutMillis.coerceIn(1, configuration.environment.deadlineMillis.toLong())
            )
        )
    }

    private fun requestPriority(priority: OrganisationPriority?): Priority = when (priority) {
        OrganisationPriority.HIGH -> Priority.HIGH
        OrganisationPriority.LOW -> Priority.LOW
        else -> Priority.NORMAL
    }

    private fun headerError(call: ApplicationCall): String? {
        val headers = call.request.headers
        val lengths = headers.getAll(HttpHeaders.ContentLength).orEmpty()
        val key = headers[IDEMPOTENCY_KEY_HEADER]
        val deadline = headers[DEADLINE_HEADER]
        return when {
            lengths.size > 1 -> "Content-Length appears twice; send it once"
            lengths.isNotEmpty() && headers[HttpHeaders.TransferEncoding] != null ->
                "Content-Length and Transfer-Encoding are mutually exclusive; send one"
            key != null && !idempotencyKeyPattern.matches(key) ->
                "$IDEMPOTENCY_KEY_HEADER takes 1 to $KEY_MAX_CHARS printable ASCII characters; " +
                    "encode it"
            deadline != null && (deadline.toLongOrNull() ?: 0) <= 0 ->
                "$DEADLINE_HEADER must be a positive number of milliseconds"
            else -> null
        }
    }

    private suspend fun readBody(call: ApplicationCall, maxBytes: Long): ByteArray? =
        withTimeoutOrNull(BODY_READ_TIMEOUT_MILLIS) {
            val bytes = call.receiveChannel().readRemaining(maxBytes + 1).readByteArray()
            bytes.takeIf { it.size <= maxBytes }
        }

    suspend fun resolveChat(
        call: ApplicationCall,
        received: ReceivedRequest
    ): Result<CallerRequest, Problem> {
        val json = try {
            Json.parseToJsonElement(received.body.decodeToString()) as? JsonObject
        } catch (_: SerializationException) {
            null
        } ?: return Err(
            badRequest("body is not a JSON object; send {\"model\": ..., \"messages\": [...]}")
        )
        val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull
            ?: return Err(badRequest("\"model\" is missing or not a string; see GET /v1/models"))
        val messages = json["messages"] as? JsonArray
        if (messages.isNullOrEmpty()) {
            return Err(
                badRequest("\"messages\" is missing or empty; send at least one message")
            )
        }
        val pool = received.configuration.pools.find { it.model.value == model }
            ?: return Err(
                Problem(
                    ProblemKind.NOT_FOUND,
                    "model \"${printable(model)}\" is not served; see GET /v1/models"
                )
            )
        return Ok(
            callerRequest(
                call,
                received,
                pool,
                "/v1/chat/completions",
                Delivery.IDEMPOTENT,
                messages.toString().take(ROUTING_PREFIX_CHARS)
            )
        )
    }

    suspend fun resolveService(
        call: ApplicationCall,
        received: ReceivedRequest
    ): Result<CallerRequest, Problem> {
        val name = call.parameters["name"].orEmpty()
        val service = received.configuration.services.find { it.id == name }
            ?: return Err(
                Problem(
                    ProblemKind.NOT_FOUND,
                    "service \"${printable(name)}\" is not declared; check the path"
                )
            )
        val pool = received.configuration.pools.find { it.id == service.pool }
            ?: return Err(
                Problem(ProblemKind.NOT_FOUND, "service \"$name\" has no pool; check the document")
            )
        val path = call.request.uri.removePrefix("/services/$name")
        if (unsafePath.containsMatchIn(path.substringBefore('?'))) {
            return Err(
                badRequest("path has dot segments or double or encoded slashes; send a plain path")
            )
        }
        val method = call.request.httpMethod.value
        val isAtMostOnce = service.atMostOnce.any { it.matches(method, path) }
        val delivery = if (isAtMostOnce) Delivery.AT_MOST_ONCE else Delivery.IDEMPOTENT
        return Ok(callerRequest(call, received, pool, path, delivery, routingPrefix = null))
    }

    private fun callerRequest(
        call: ApplicationCall,
        received: ReceivedRequest,
        pool: PoolSection,
        path: String,
        delivery: Delivery,
        routingPrefix: String?
    ): CallerRequest = CallerRequest(
        received.id,
        received.organisation,
        received.priority,
        pool,
        delivery,
        call.request.httpMethod.value,
        path,
        relayedHeaders(call),
        received.body,
        routingPrefix,
        call.request.headers[IDEMPOTENCY_KEY_HEADER],
        received.deadlineMillis
    )

    private fun relayedHeaders(call: ApplicationCall): List<HeaderField> = listOf(
        HttpHeaders.ContentType,
        HttpHeaders.Accept,
        HttpHeaders.AcceptLanguage,
        ORGANISATION_HEADER,
        IDEMPOTENCY_KEY_HEADER
    )
        .mapNotNull { name -> call.request.headers[name]?.let { HeaderField(name, it) } }

    private suspend fun dispatch(call: ApplicationCall, request: CallerRequest) {
        val subject = EventSubject(requestId = request.id)
        context.events.event(EventCode.REQUEST_ACCEPTED, subject) {
            "${request.method} ${request.path} for ${request.organisation}"
        }
        val opened =
            withTimeoutOrNull(maxOf(1, request.remainingMillis())) {
                context.dispatcher.open(request)
            }
                ?: Err(
                    Problem(
                        ProblemKind.DEADLINE,
                        "the deadline expired before the response started; allow more time",
                        ranAfterDeadline(request)
                    )
                )
        opened.fold(
            success = { relay(call, request, it) },
            failure = { reject(call, it, request.id) }
        )
    }

    private fun ranAfterDeadline(request: CallerRequest) =
        if (request.delivery == Delivery.AT_MOST_ONCE) Ran.UNKNOWN else Ran.NO

    private suspend fun relay(call: ApplicationCall, request: CallerRequest, open: OpenResponse) {
        val channel = ResponseChannel(open.relay, socketDrainOf(call))
        try {
            call.respond(ResponseContent(open.start.head, channel))
        } finally {
            withContext(NonCancellable) { context.dispatcher.finish(open.relay, open.placement) }
            val code =
                if (channel.isComplete) EventCode.REQUEST_ANSWERED else EventCode.REQUEST_FAILED
            context.events.event(code, EventSubject(requestId = request.id)) {
                "by ${open.placement.vm}" + (channel.closedCause?.message?.let { ": $it" } ?: "")
            }
        }
    }

    suspend fun listModels(call: ApplicationCall) {
        val models = context.configuration()?.models.orEmpty().map { ModelEntry(it.id) }
        val text = Json.encodeToString(ModelList.serializer(), ModelList(models))
        call.respondText(text, ContentType.Application.Json)
    }

    private fun badRequest(detail: String): Problem = Problem(ProblemKind.BAD_REQUEST, detail)

    private fun printable(text: String): String = text.take(KEY_MAX_CHARS).filter {
        it.code >=
            ' '.code
    }
}

@Serializable
private data class ModelEntry(val id: ModelId, @EncodeDefault val `object`: String = "model")

@Serializable
private data class ModelList(
    val data: List<ModelEntry>,
    @EncodeDefault val `object`: String = "list"
)
