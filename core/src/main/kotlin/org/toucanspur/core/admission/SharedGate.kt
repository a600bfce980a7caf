/*
 * An admission gate for several threads.
 */
package org.toucanspur.core.admission

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Serialises the use of an [AdmissionGate]; blocks only for the short time of a decision. */
class SharedGate(private val gate: AdmissionGate) {
    private val lock = ReentrantLock()

    /** Runs [decision] on the gate, alone. */
    fun <T> decide(decision: (AdmissionGate) -> T): T = lock.withLock { decision(gate) }
}
