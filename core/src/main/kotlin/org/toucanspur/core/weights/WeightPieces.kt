/*
 * Weight versions split into pieces: the manifest of a version, the origin that publishes pieces
 * and the control interface of the endpoint that loads them.
 */
package org.toucanspur.core.weights

import com.github.michaelbull.result.Result
import kotlinx.serialization.Serializable
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.schema.ModelId

/** The pieces of one weight version; digests are SHA-256 in hexadecimal. */
@Serializable
data class PieceManifest(
    val model: ModelId,
    val version: Long,
    val pieceBytes: Int,
    val digests: List<String>
) {
    /** Whether [bytes] match the digest of the piece at [index]. */
    fun verifies(index: Int, bytes: ByteArray): Boolean =
        index in digests.indices && sha256(bytes) == digests[index]
}

/** Reason why a call to the origin or the endpoint failed. */
sealed interface WeightFailure {
    /** Description for log lines. */
    val message: String

    /** The HTTP call failed. */
    data class Transport(val cause: HttpFailure) : WeightFailure {
        override val message = cause.message
    }

    /** The server refused the call. */
    data class Refused(val status: Int, val detail: String) : WeightFailure {
        override val message = "status $status $detail"
    }

    /** The response cannot be parsed. */
    data class Malformed(val detail: String) : WeightFailure {
        override val message = "malformed response ($detail)"
    }
}

/** Origin server that publishes weight versions. */
interface PieceOrigin {
    /** The manifest of a version. */
    suspend fun manifest(model: ModelId, version: Long): Result<PieceManifest, WeightFailure>

    /** The bytes of one piece; the caller must verify them. */
    suspend fun piece(model: ModelId, version: Long, index: Int): Result<ByteArray, WeightFailure>
}

/** Status report of an endpoint. */
data class EngineReport(
    val loadedVersions: Map<ModelId, Long>,
    /** Whether a load order is in progress. */
    val isBusy: Boolean,
    /** Number of load orders begun since the endpoint started. */
    val ordersBegun: Long,
    val running: Int,
    val waiting: Int,
    val pacePercent: Int,
    val startedAtMillis: Long
)

/** Reply of an endpoint to a load order. */
enum class OrderReply {
    /** The load has begun. */
    BEGUN,

    /** The version is loaded already. */
    IN_EFFECT,

    /** The state of the endpoint differs from the one that the order expects. */
    CONFLICT,

    /** The endpoint has received an order with a higher fencing number. */
    FENCED,

    /** The endpoint does not recognise the order, or the address belongs to another endpoint. */
    REJECTED
}

/** Treatment of requests that are running when a load is ordered. */
enum class RunningRequestPolicy {
    /** The load waits until they have finished. */
    AWAIT,

    /** They are truncated and resumed at other endpoints. */
    CUT
}

/** An order to load the staged pieces of [model] as [version]. */
data class LoadOrder(
    val model: ModelId,
    val version: Long,
    /** Precondition: the endpoint refuses the order unless it has begun this number of orders. */
    val ordersExpected: Long,
    val running: RunningRequestPolicy,
    /** Increases with each order; an endpoint may refuse a number below one it has seen. */
    val fencingNumber: Long
)

/** Controls the endpoint on the VM of this agent. */
interface EngineControl {
    /** The current status report. */
    suspend fun report(): Result<EngineReport, WeightFailure>

    /** Indexes of the staged pieces of [model]. */
    suspend fun stagedIndexes(model: ModelId): Result<Set<Int>, WeightFailure>

    /** The staged bytes of one piece; null when it is not staged. */
    suspend fun staged(model: ModelId, index: Int): Result<ByteArray?, WeightFailure>

    /** Stages a piece and replaces any earlier content. */
    suspend fun stage(model: ModelId, index: Int, bytes: ByteArray): Result<Unit, WeightFailure>

    /**
     * Sends [order]; its policy decides whether the load waits for running requests. The order is
     * not sent if [isStillValid] is false immediately before it would be written.
     */
    suspend fun load(
        order: LoadOrder,
        isStillValid: () -> Boolean
    ): Result<OrderReply, WeightFailure>
}
