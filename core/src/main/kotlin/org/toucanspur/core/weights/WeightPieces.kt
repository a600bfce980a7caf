/*
 * Weights in pieces: what a version consists of, where pieces come from, and the endpoint that
 * loads them.
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
    /** Whether [bytes] are the piece at [index]. */
    fun verifies(index: Int, bytes: ByteArray): Boolean =
        index in digests.indices && sha256(bytes) == digests[index]
}

/** Why a call about weights gave nothing. */
sealed interface WeightFailure {
    /** What happened, for a log line. */
    val message: String

    /** The call failed on the way. */
    data class Transport(val cause: HttpFailure) : WeightFailure {
        override val message = cause.message
    }

    /** The other side refused. */
    data class Refused(val status: Int, val detail: String) : WeightFailure {
        override val message = "status $status $detail"
    }

    /** The answer cannot be read. */
    data class Malformed(val detail: String) : WeightFailure {
        override val message = "malformed answer ($detail)"
    }
}

/** Where weight versions are published. */
interface PieceOrigin {
    /** The manifest of a version. */
    suspend fun manifest(model: ModelId, version: Long): Result<PieceManifest, WeightFailure>

    /** The bytes of one piece; the caller verifies them. */
    suspend fun piece(model: ModelId, version: Long, index: Int): Result<ByteArray, WeightFailure>
}

/** What an endpoint says of itself. */
data class EngineReport(
    val loadedVersions: Map<ModelId, Long>,
    /** An order is in progress. */
    val isBusy: Boolean,
    /** Orders begun in this life of the endpoint. */
    val ordersBegun: Long,
    val running: Int,
    val waiting: Int,
    val pacePercent: Int,
    val startedAtMillis: Long
)

/** How an endpoint took an order. */
enum class OrderReply {
    /** The load has begun. */
    BEGUN,

    /** The version is loaded already. */
    IN_EFFECT,

    /** The endpoint's state is not the one that the order expected. */
    CONFLICT,

    /** A process with a higher fencing number has given an order. */
    FENCED,

    /** The order is not known, or another endpoint has the address. */
    REJECTED
}

/** What becomes of requests that run when a load is ordered. */
enum class RunningRequests {
    /** The load waits for them. */
    AWAIT,

    /** They are cut off, to go on at other endpoints. */
    CUT
}

/** An order to load the staged pieces of [model] as [version]. */
data class LoadOrder(
    val model: ModelId,
    val version: Long,
    /** Orders that the endpoint has begun by its last report; it refuses this one otherwise. */
    val ordersExpected: Long,
    val running: RunningRequests,
    /** Rises with each order; an endpoint may refuse one that is lower than another it has seen. */
    val fencingNumber: Long
)

/** Control of the endpoint on the own VM. */
interface EngineControl {
    /** The present report. */
    suspend fun report(): Result<EngineReport, WeightFailure>

    /** Indexes of the staged pieces of [model]. */
    suspend fun stagedIndexes(model: ModelId): Result<Set<Int>, WeightFailure>

    /** The staged bytes of one piece; null when it is not there. */
    suspend fun staged(model: ModelId, index: Int): Result<ByteArray?, WeightFailure>

    /** Stages a piece, replacing what is there. */
    suspend fun stage(model: ModelId, index: Int, bytes: ByteArray): Result<Unit, WeightFailure>

    /** Gives [order], which begins after the running requests or now. */
    suspend fun load(order: LoadOrder): Result<OrderReply, WeightFailure>
}
