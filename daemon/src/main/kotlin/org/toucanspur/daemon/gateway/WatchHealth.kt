/*
 * Whether the watches of an entry follow the store. A watch that failed by itself, and not because
 * the store is unavailable, follows again once it is up to date.
 */
package org.toucanspur.daemon.gateway

import java.util.EnumSet
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.StoreFreshness
import org.toucanspur.core.platform.ObjectKind

/** Health of the watches of one entry; confined to the event loop. */
class WatchHealth(
    private val freshness: StoreFreshness,
    private val clocks: ClockPair = systemClocks,
    private val onConfirmed: () -> Unit = {}
) {
    private val failed = EnumSet.noneOf(ObjectKind::class.java)

    /** Whether no watch has failed since it was last up to date. */
    val areAllFollowing: Boolean get() = failed.isEmpty()

    /** Records that the watch of [kind] failed. */
    fun onFailed(kind: ObjectKind) {
        failed += kind
    }

    /** Returns [listener], which also records how far the watch of [kind] is up to date. */
    fun observe(kind: ObjectKind, listener: ObjectWatchListener): ObjectWatchListener =
        object : ObjectWatchListener by listener {
            override fun onUpToDate(revision: Long, at: ClockReading, era: Long?) {
                listener.onUpToDate(revision, at, era)
                freshness.onConfirmed(kind, revision, at, clocks.now(), era)
                failed -= kind
                onConfirmed()
            }
        }
}
