/*
 * Brings a complete version into the engine beside the agent: stages the pieces, reads them back
 * right before the order, orders the load and confirms it from the engine's own report.
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
    private val library: PieceLibrary,
    private val log: DecisionLog,
    private val fences: FencingNumberGenerator = FencingNumberGenerator(::wallMillis)
) {
    private var stagedKey: VersionKey? = null
    private val staged = HashSet<Int>()

    // There is one staged copy for each model: a piece of another version that is staged between
    // the check and the order would be loaded with the rest.
    private val stagedCopy = Mutex()

    /** Stages one piece ahead of the order; a failure is made up for by the check before it. */
    suspend fun stageAhead(key: VersionKey, index: Int) = stagedCopy.withLock {
        if (stagedKey != key) {
            stagedKey = key
            staged.clear()
        }
        if (index in staged) return@withLock
        val bytes = library.get(key, index) ?: return@withLock
        engine.stage(key.model, index, bytes).fold({ staged += index }, {})
    }

    /** Forgets what is staged: the engine has lost power, or another life has begun. */
    fun forgetStaged() {
        stagedKey = null
        staged.clear()
    }

    /** Checks the staged copy, mends it and gives the order; returns whether a load has begun. */
    suspend fun load(
        key: VersionKey,
        report: EngineReport,
        running: RunningRequestPolicy = RunningRequestPolicy.AWAIT
    ): Boolean = stagedCopy.withLock { checkAndOrder(key, report, running) }

    private suspend fun checkAndOrder(
        key: VersionKey,
        report: EngineReport,
        running: RunningRequestPolicy
    ): Boolean {
        val pieces = library.manifest(key)?.digests?.size ?: return false
        for (index in 0 until pieces) {
            if (!ensureStaged(key, index)) return false
        }
        // An endpoint that began another life meanwhile has lost what was checked before, and its
        // count of orders begins at the same number.
        val now = engine.report().getOrElse { return false }
        if (now.startedAtMillis != report.startedAtMillis) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", "the engine has started again") }
            return false
        }
        val fence = fences.next()
        val reply = engine.load(
            LoadOrder(key.model, key.version, report.ordersBegun, running, fence)
        )
        log.event(EventCode.LOAD_ORDERED) {
            put("model", key.model.value)
            put("version", key.version)
            put("ordersExpected", report.ordersBegun)
            put("running", running.name)
            put("fencingNumber", fence)
            put("reply", reply.fold({ it.name }, WeightFailure::message))
        }
        val outcome = reply.getOrElse { return false }
        if (outcome == OrderReply.FENCED) fences.onFenced()
        if (outcome != OrderReply.BEGUN && outcome != OrderReply.IN_EFFECT) {
            log.event(EventCode.LOAD_REFUSED) { put("reply", outcome.name) }
            return false
        }
        return true
    }

    private suspend fun ensureStaged(key: VersionKey, index: Int): Boolean {
        val manifest = library.manifest(key) ?: return false
        val present = engine.staged(key.model, index).getOrElse { return false }
        if (present != null && manifest.verifies(index, present)) return true
        if (present != null && stagedKey == key && index in staged) {
            log.event(EventCode.STAGED_PIECE_SPOILT, isEssential = false) { put("piece", index) }
        }
        val bytes = library.get(key, index) ?: return false
        engine.stage(key.model, index, bytes).getOrElse { return false }
        val stored = engine.staged(key.model, index).getOrElse { return false }
        return stored != null && manifest.verifies(index, stored)
    }

    /** Takes over what a former life of the agent has staged; returns the number of pieces. */
    suspend fun recover(key: VersionKey): Int {
        val indexes = engine.stagedIndexes(key.model).getOrElse { return 0 }
        var count = 0
        for (index in indexes) {
            val bytes = engine.staged(key.model, index).getOrElse { null } ?: continue
            if (library.put(key, index, bytes)) {
                count++
                if (stagedKey != key) {
                    stagedKey = key
                    staged.clear()
                }
                staged += index
            }
        }
        return count
    }
}
