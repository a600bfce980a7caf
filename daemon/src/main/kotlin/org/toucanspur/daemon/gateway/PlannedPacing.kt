/*
 * Pacing of the watches of an entry by its plan of calls to the store.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.monotonicMillis

// Longer than the time between two changes that entries themselves make to the store.
private const val STORE_CHANGING_MILLIS = 10_000L

/** Pacing of [kind] as `state.storeCallPlan` says. */
class PlannedPacing(
    private val kind: ObjectKind,
    private val state: GatewayState,
    private val isJoinUrgent: () -> Boolean = { false },
    backoffMaxMillis: Long = 800
) : WatchPacing(backoffMaxMillis = backoffMaxMillis) {
    override val batchDelayMillis: Long
        get() = if (kind == ObjectKind.ENDPOINTS) {
            state.storeCallPlan.pauseMillis(state.entryCount(monotonicMillis()), isJoinUrgent())
        } else {
            0
        }

    override fun waitMillis(longestMillis: Long, ageMillis: Long): Long {
        val isChanging = state.storeFreshness.isChanging(systemClocks.now(), STORE_CHANGING_MILLIS)
        val entryCount = state.entryCount(monotonicMillis())
        return state.storeCallPlan.waitMillis(kind, entryCount, isChanging, ageMillis)
            ?: longestMillis
    }
}
