/*
 * A process of a platform deployment, of either role.
 */
package org.toucanspur.daemon.node

/** What the daemon's main function starts and stops. */
interface PlatformNode {
    /** Starts to serve; returns once all listeners are bound. */
    fun start()

    /** Ends gracefully; cuts off no request that can end within the grace period. */
    suspend fun shutdown()
}
