/*
 * Lifecycle of a node of a platform deployment, whatever its role.
 */
package org.toucanspur.daemon.node

/** A node that the daemon starts and shuts down. */
interface PlatformNode {
    /** Starts serving; returns once all listeners are bound. */
    fun start()

    /** Shuts down gracefully: requests that can finish within the grace period are not aborted. */
    suspend fun shutdown()
}
