/*
 * Loads a complete weight version into the engine on the agent's VM: stages the pieces, reads them
 * back immediately before the load order, and sends the order. The engine's next report confirms
 * the load.
 *
 * The engine takes the staged pieces as they are when it begins the order. The order is therefore
 * sent only while all verifications are recent. When the engine does not reply in time, the time at
 * which it begins the order is unknown: until a report settles that, no other version is staged.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.weights.EngineControl
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.core.weights.FencingNumberGenerator
import org.toucanspur.core.weights.LoadOrder
import org.toucanspur.core.weights.OrderReply
import org.toucanspur.core.weights.PIECE_TRUST_MILLIS
import org.toucanspur.core.weights.PieceVerifications
import org.toucanspur.core.weights.RunningRequestPolicy
import org.toucanspur.core.weights.WeightFailure
import org.toucanspur.core.weights.wholeCountOf
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.ModelId

// The rest of the time for which a verification counts is reserved for the reply to the order.
private const val ORDER_AGE_MAX_MILLIS = PIECE_TRUST_MILLIS - 1000

// Pieces that were verified earlier are verified again, so that some time is left for the order.
private const val VERIFY_AGAIN_MILLIS = ORDER_AGE_MAX_MILLIS / 2
private const val VERIFICATION_PASSES_MAX = 4

/** Loads versions into one engine; confined to the event loop. */
class EngineLoader(
    private val engine: EngineControl,
    private val cache: PieceCache,
    private val log: DecisionLog,
    private val clocks: ClockPair,
    private val fencingNumbers: FencingNumberGenerator = FencingNumberGenerator(::wallMillis)
) {
    private var stagedVersion: VersionKey? = null
    private val stagedIndexes = HashSet<Int>()

    // An order that the engine may still begin, or has begun at an unknown time.
    private var unsettledOrder: SentOrder? = null
    private var loadInDoubt: SentOrder? = null

    // The engine has one staging area per model. A piece of another version that is staged between
    // verification and the order would be loaded with the verified pieces.
    private val stagingMutex = Mutex()

    private class SentOrder(
        val key: VersionKey,
        val ordersExpected: Long,
        val startedAtMillis: Long
    ) {
        /** Whether a corrupt piece has been staged again while the order was not settled. */
        var isPieceReplaced = false
    }

    /** Stages one piece ahead of the order; [load] verifies and restages pieces that failed. */
    suspend fun stageAhead(key: VersionKey, index: Int) = stagingMutex.withLock {
        if (unsettledOrder != null) return@withLock
        if (stagedVersion != key) {
            stagedVersion = key
            stagedIndexes.clear()
        }
        if (index in stagedIndexes) return@withLock
        val bytes = cache.get(key, index) ?: return@withLock
        engine.stage(key.model, index, bytes).fold({ stagedIndexes += index }, {})
    }

    /** Clears the record of staged pieces after the engine restarted or its VM lost power. */
    fun clearStaged() {
        stagedVersion = null
        stagedIndexes.clear()
    }

    /**
     * Verifies the staged pieces, restages corrupt or missing ones and sends the load order.
     * Returns whether the engine started the load or has already loaded the version.
     */
    suspend fun load(
        key: VersionKey,
        report: EngineReport,
        running: RunningRequestPolicy = RunningRequestPolicy.AWAIT
    ): Boolean = stagingMutex.withLock {
        settle(report)
        val open = unsettledOrder
        if (open != null && report.ordersBegun > open.ordersExpected) return@withLock false
        // An order that is not settled is sent again; its number of expected orders ensures that
        // the engine begins only one of the two.
        verifyAndOrder(open?.key ?: key, report, running)
    }

    /**
     * Finds out whether the engine has begun an order that it did not reply to in time. If it has,
     * the pieces that it loaded are verified once more.
     */
    suspend fun settleOrder() {
        if (unsettledOrder == null) return
        stagingMutex.withLock { engine.report().get()?.let { settle(it) } }
    }

    /** Whether the version that the engine serves may have been loaded with a corrupt piece. */
    fun isLoadInDoubt(report: EngineReport): Boolean {
        val order = loadInDoubt ?: return false
        return report.startedAtMillis == order.startedAtMillis &&
            (report.loadedVersions[order.key.model] ?: order.key.version) == order.key.version
    }

    private suspend fun settle(report: EngineReport) {
        val order = unsettledOrder ?: return
        val isEngineRestarted = report.startedAtMillis != order.startedAtMillis
        if (!isEngineRestarted && report.ordersBegun <= order.ordersExpected) return
        if (!isEngineRestarted && !(isStagingIntact(order) ?: return)) {
            loadInDoubt = order
            log.event(EventCode.LOAD_IN_DOUBT) {
                put("model", order.key.model.value)
                put("version", order.key.version)
            }
        }
        unsettledOrder = null
    }

    // A piece that was corrupt when the engine began the order is still corrupt, unless it was
    // replaced since. Returns null if the engine does not respond.
    private suspend fun isStagingIntact(order: SentOrder): Boolean? {
        val manifest = cache.manifest(order.key)
        if (manifest == null || order.isPieceReplaced) return false
        for (index in manifest.digests.indices) {
            val bytes = engine.staged(order.key.model, index).getOrElse { return null }
            if (bytes == null || !manifest.verifies(index, bytes)) return false
        }
        return true
    }

    private suspend fun verifyAndOrder(
        key: VersionKey,
        report: EngineReport,
        running: RunningRequestPolicy
    ): Boolean {
        val verifications = verifyStaged(key) ?: return false
        // An engine that restarted during verification has lost its staged pieces, but its order
        // counter starts at the same number, so that ordersExpected does not reveal the restart.
        val current = engine.report().getOrElse { return false }
        if (current.startedAtMillis != report.startedAtMillis) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", "engine restarted before the order") }
            return false
        }
        val fencingNumber = fencingNumbers.next()
        val order = SentOrder(key, report.ordersBegun, report.startedAtMillis)
        val reply = engine.load(
            LoadOrder(key.model, key.version, report.ordersBegun, running, fencingNumber)
        ) { verifications.areWithin(ORDER_AGE_MAX_MILLIS) }
        log.event(EventCode.LOAD_ORDERED) {
            put("model", key.model.value)
            put("version", key.version)
            put("ordersExpected", report.ordersBegun)
            put("running", running.name)
            put("fencingNumber", fencingNumber)
            put("reply", reply.fold({ it.name }, WeightFailure::message))
        }
        val isTimely = verifications.areWithin(PIECE_TRUST_MILLIS)
        if (reply.get() == OrderReply.BEGUN) unsettledOrder = order.takeUnless { isTimely }
        if (mayBeginLater(reply) && unsettledOrder == null) unsettledOrder = order
        val outcome = reply.getOrElse { return false }
        if (outcome == OrderReply.FENCED) fencingNumbers.onFenced()
        if (outcome != OrderReply.BEGUN && outcome != OrderReply.IN_EFFECT) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", outcome.name) }
            return false
        }
        return true
    }

    private fun mayBeginLater(reply: Result<OrderReply, WeightFailure>): Boolean {
        val failure = reply.getError() as? WeightFailure.Transport ?: return false
        return failure.cause is HttpFailure.NoResponse || failure.cause is HttpFailure.TooLarge
    }

    // Returns null if a piece cannot be staged, or if the verification takes so long that the first
    // pieces have to be verified again each time.
    private suspend fun verifyStaged(key: VersionKey): PieceVerifications? {
        val pieceCount = cache.manifest(key)?.digests?.size ?: return null
        val verifications = PieceVerifications(pieceCount, clocks)
        repeat(VERIFICATION_PASSES_MAX) {
            for (index in verifications.outdated(VERIFY_AGAIN_MILLIS)) {
                val startedAt = clocks.now()
                if (!ensureStaged(key, index)) return null
                verifications.record(index, startedAt)
            }
            if (verifications.areWithin(ORDER_AGE_MAX_MILLIS)) return verifications
        }
        log.event(EventCode.LOAD_REFUSED) { put("reply", "staged pieces are read too slowly") }
        return null
    }

    private suspend fun ensureStaged(key: VersionKey, index: Int): Boolean {
        val manifest = cache.manifest(key) ?: return false
        val stagedBytes = engine.staged(key.model, index).getOrElse { return false }
        if (stagedBytes != null && manifest.verifies(index, stagedBytes)) return true
        if (stagedBytes != null && stagedVersion == key && index in stagedIndexes) {
            log.event(EventCode.STAGED_PIECE_SPOILT, isEssential = false) { put("piece", index) }
        }
        val bytes = cache.get(key, index) ?: return false
        unsettledOrder?.isPieceReplaced = true
        engine.stage(key.model, index, bytes).getOrElse { return false }
        val restagedBytes = engine.staged(key.model, index).getOrElse { return false }
        return restagedBytes != null && manifest.verifies(index, restagedBytes)
    }

    /** Number of pieces of the version that is staged whole; null if none is. */
    suspend fun stagedCount(model: ModelId): Int? =
        engine.stagedIndexes(model).get()?.let(::wholeCountOf)

    /**
     * Reads back the pieces that a previous process of the agent staged and caches those that match
     * the manifest of [key]; returns their number.
     */
    suspend fun recoverStaged(key: VersionKey): Int {
        val indexes = engine.stagedIndexes(key.model).getOrElse { return 0 }
        var count = 0
        for (index in indexes) {
            val bytes = engine.staged(key.model, index).getOrElse { null } ?: continue
            if (cache.put(key, index, bytes)) {
                count++
                if (stagedVersion != key) {
                    stagedVersion = key
                    stagedIndexes.clear()
                }
                stagedIndexes += index
            }
        }
        return count
    }
}
