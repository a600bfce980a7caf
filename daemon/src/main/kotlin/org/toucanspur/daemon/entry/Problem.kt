/*
 * Error responses to callers as RFC 9457 problem documents. The member `ran` states whether the
 * request may have taken effect.
 */
package org.toucanspur.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.toucanspur.schema.Ran
import org.toucanspur.schema.Refused
import org.toucanspur.schema.RequestId

private const val MILLIS_PER_SECOND = 1000L
private val problemJson = ContentType("application", "problem+json")

/** Kinds of problems; [type] is the last segment of the problem's type URI. */
enum class ProblemKind(val type: String, val status: HttpStatusCode) {
    BAD_REQUEST("bad-request", HttpStatusCode.BadRequest),
    UNKNOWN_ORGANISATION("unknown-organisation", HttpStatusCode.Forbidden),
    NOT_FOUND("not-found", HttpStatusCode.NotFound),
    BODY_TOO_LARGE("body-too-large", HttpStatusCode.PayloadTooLarge),
    KEY_REUSED("key-reused", HttpStatusCode.UnprocessableEntity),
    POISON("poison", HttpStatusCode.UnprocessableEntity),
    OVERLOADED("overloaded", HttpStatusCode.ServiceUnavailable),
    UNAVAILABLE("unavailable", HttpStatusCode.ServiceUnavailable),
    OUTCOME_UNKNOWN("outcome-unknown", HttpStatusCode.BadGateway),
    DEADLINE("deadline", HttpStatusCode.GatewayTimeout)
}

/** Why a request failed; [detail] names the remedy. */
data class Problem(
    val kind: ProblemKind,
    val detail: String,
    val ran: Ran = Ran.NO,
    val retryAfterMillis: Long? = null
)

@Serializable
private data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val ran: String,
    @SerialName("request_id") val requestId: String
)

/** Responds to the call with [problem]. */
internal suspend fun ApplicationCall.respondProblem(problem: Problem, id: RequestId) {
    val status = problem.kind.status
    val document = ProblemDocument(
        "urn:toucanspur:problem:${problem.kind.type}",
        problem.kind.type.replace('-', ' '),
        status.value,
        problem.detail,
        problem.ran.name.lowercase(),
        id.value
    )
    problem.retryAfterMillis?.let {
        val seconds = maxOf(1, (it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND)
        response.header(HttpHeaders.RetryAfter, seconds.toString())
    }
    val text = Json.encodeToString(ProblemDocument.serializer(), document)
    respondText(text, problemJson, status)
}

/** Converts an agent's refusal to a problem for the caller. */
internal fun problemOf(refused: Refused): Problem {
    val kind = when {
        refused.ran == Ran.UNKNOWN -> ProblemKind.OUTCOME_UNKNOWN
        refused.kind == "poison" -> ProblemKind.POISON
        refused.kind == "deadline" -> ProblemKind.DEADLINE
        else -> ProblemKind.OVERLOADED
    }
    return Problem(kind, refused.detail, refused.ran, refused.retryAfterMillis.takeIf { it > 0 })
}
