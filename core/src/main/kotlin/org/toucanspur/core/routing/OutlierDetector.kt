/*
 * Ejects endpoints that fail several times in a row from routing for a while.
 */
package org.toucanspur.core.routing

import org.toucanspur.schema.VmId

/** Counts consecutive failures per endpoint. Safe for use by several threads. */
class OutlierDetector(private val failuresMax: Int = 3, private val ejectionMillis: Long = 5000) {
    private val failures = HashMap<VmId, Int>()
    private val ejectedUntil = HashMap<VmId, Long>()

    /** Notes a success, which ends the count. */
    @Synchronized
    fun onSuccess(vm: VmId) {
        failures.remove(vm)
        ejectedUntil.remove(vm)
    }

    /** Notes a failure and ejects the endpoint when there were too many in a row. */
    @Synchronized
    fun onFailure(vm: VmId, nowMillis: Long) {
        val count = (failures[vm] ?: 0) + 1
        failures[vm] = count
        if (count >= failuresMax) ejectedUntil[vm] = nowMillis + ejectionMillis
    }

    /** Whether [vm] is ejected at [nowMillis]. */
    @Synchronized
    fun isEjected(vm: VmId, nowMillis: Long): Boolean = (ejectedUntil[vm] ?: 0) > nowMillis
}
