/*
 * Loads a complete weight version into the engine on the agent's VM: stages the pieces, reads them
 * back immediately before the load order, and sends the order. The engine's next report confirms
 * the load.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.weights.EngineControl
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.core.weights.FencingNumberGenerator
import org.toucanspur.core.weights.LoadOrder
import org.toucanspur.core.weights.OrderReply
import org.toucanspur.core.weights.RunningRequestPolicy
import org.toucanspur.core.weights.WeightFailure
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.wallMillis

/** Loads versions into one engine; confined to the event loop. */
class EngineLoader(
    private val engine: EngineControl,
    private val cache: PieceCache,
    private val log: DecisionLog,
    private val fencingNumbers: FencingNumberGenerator = FencingNumberGenerator(::wallMillis)
) {
    private var stagedVersion: VersionKey? = null
    private val stagedIndexes = HashSet<Int>()

    // The engine has one staging area per model. A piece of another version that is staged between
    // verification and the order would be loaded with the verified pieces.
    private val stagingMutex = Mutex()

    /** Stages one piece ahead of the order; [load] verifies and restages pieces that failed. */
    suspend fun stageAhead(key: VersionKey, index: Int) = stagingMutex.withLock {
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
    ): Boolean = stagingMutex.withLock { verifyAndOrder(key, report, running) }

    private suspend fun verifyAndOrder(
        key: VersionKey,
        report: EngineReport,
        running: RunningRequestPolicy
    ): Boolean {
        val pieceCount = cache.manifest(key)?.digests?.size ?: return false
        for (index in 0 until pieceCount) {
            if (!ensureStaged(key, index)) return false
        }
        // An engine that restarted during verification has lost its staged pieces, but its order
        // counter starts at the same number, so that ordersExpected does not reveal the restart.
        val current = engine.report().getOrElse { return false }
        if (current.startedAtMillis != report.startedAtMillis) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", "engine restarted before the order") }
            return false
        }
        val fencingNumber = fencingNumbers.next()
        val reply = engine.load(
            LoadOrder(key.model, key.version, report.ordersBegun, running, fencingNumber)
        )
        log.event(EventCode.LOAD_ORDERED) {
            put("model", key.model.value)
            put("version", key.version)
            put("ordersExpected", report.ordersBegun)
            put("running", running.name)
            put("fencingNumber", fencingNumber)
            put("reply", reply.fold({ it.name }, WeightFailure::message))
        }
        val outcome = reply.getOrElse { return false }
        if (outcome == OrderReply.FENCED) fencingNumbers.onFenced()
        if (outcome != OrderReply.BEGUN && outcome != OrderReply.IN_EFFECT) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", outcome.name) }
            return false
        }
        return true
    }

    private suspend fun ensureStaged(key: VersionKey, index: Int): Boolean {
        val manifest = cache.manifest(key) ?: return false
        val stagedBytes = engine.staged(key.model, index).getOrElse { return false }
        if (stagedBytes != null && manifest.verifies(index, stagedBytes)) return true
        if (stagedBytes != null && stagedVersion == key && index in stagedIndexes) {
            log.event(EventCode.STAGED_PIECE_SPOILT, isEssential = false) { put("piece", index) }
        }
        val bytes = cache.get(key, index) ?: return false
        engine.stage(key.model, index, bytes).getOrElse { return false }
        val restagedBytes = engine.staged(key.model, index).getOrElse { return false }
        return restagedBytes != null && manifest.verifies(index, restagedBytes)
    }

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
