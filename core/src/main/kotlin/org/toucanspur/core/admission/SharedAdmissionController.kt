/*
 * Thread-safe wrapper of the admission controller.
 */
package org.toucanspur.core.admission

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Serialises access to an [AdmissionController]; the lock is held only for one decision. */
class SharedAdmissionController(private val controller: AdmissionController) {
    private val lock = ReentrantLock()

    /** Runs [decision] on the controller while holding the lock. */
    fun <T> decide(decision: (AdmissionController) -> T): T = lock.withLock { decision(controller) }
}
