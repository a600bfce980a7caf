/*
 * Temporarily ejects endpoints from routing after several consecutive failures.
 */
package org.toucanspur.core.routing

import org.toucanspur.schema.VmId

/** Counts consecutive failures per endpoint. Thread-safe. */
class OutlierDetector(private val failuresMax: Int = 3, private val ejectionMillis: Long = 5000) {
    private val failures = HashMap<VmId, Int>()
    private val ejectedUntil = HashMap<VmId, Long>()

    /** Records a success, which resets the failure count and ends an ejection. */
    @Synchronized
    fun onSuccess(vm: VmId) {
        failures.remove(vm)
        ejectedUntil.remove(vm)
    }

    /** Records a failure and ejects the endpoint after too many consecutive ones. */
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
