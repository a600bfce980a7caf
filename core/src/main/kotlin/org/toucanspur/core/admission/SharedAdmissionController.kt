/*
 * An admission gate for several threads.
 */
package org.toucanspur.core.admission

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Serialises the use of an [AdmissionController]; blocks only for the short time of a decision. */
class SharedAdmissionController(private val gate: AdmissionController) {
    private val lock = ReentrantLock()

    /** Runs [decision] on the gate, alone. */
    fun <T> decide(decision: (AdmissionController) -> T): T = lock.withLock { decision(gate) }
}
