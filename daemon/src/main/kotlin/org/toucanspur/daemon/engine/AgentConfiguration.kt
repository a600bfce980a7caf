/*
 * Configuration of an agent. An agent uses little of it: the model of its service, the origin of
 * the weights, and the kinds of the routes when it sends a load order. It therefore does not follow
 * each version, which has all routes, but reads the newest one when it needs it: many agents share
 * the link of their region with the entries, which do need each version.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WatchCall
import org.toucanspur.platform.decodeConfiguration

/**
 * The configuration that an agent has read from [feed]. Failures to read it go to [onUnavailable],
 * versions that cannot be decoded to [onRejected], with their reason. Confined to one thread.
 */
class AgentConfiguration(
    private val feed: ObjectFeed,
    private val clocks: ClockPair,
    private val onUnavailable: (String) -> Unit,
    private val onRejected: (String) -> Unit
) {
    private val reading = Mutex()
    private var confirmedAt: ClockReading? = null
    private var revision: Long? = null
    private var era: Long? = null
    private var sizeBytes = 0

    /** The newest version that was read; null before the first one. */
    var current: TrafficConfiguration? = null
        private set

    /**
     * Reads the newest version unless the current one was known to be the newest [maxAgeMillis]
     * ago or later. The current one stays if the store does not respond.
     */
    suspend fun refresh(maxAgeMillis: Long) = reading.withLock {
        val now = clocks.now()
        val isRecent = confirmedAt?.let { now.ageMillis(it) <= maxAgeMillis } ?: false
        if (isRecent && current != null) return@withLock
        val failure = if (isUnchangedOrAdopted()) null else list()
        if (failure == null) confirmedAt = now else onUnavailable(failure.message)
    }

    // An unchanged configuration takes a few bytes this way.
    private suspend fun isUnchangedOrAdopted(): Boolean {
        val known = revision ?: return false
        val call = WatchCall(
            ObjectKind.CONFIGURATION,
            known,
            CHECK_WAIT_MILLIS,
            sizeBytes + sizeBytes / 2 + CHANGES_MIN_BYTES
        )
        val changes = feed.watch(call).get()?.takeIf { it.era == era } ?: return false
        revision = maxOf(known, changes.storeRevision)
        changes.changes.filterNot { it.isRemoved }.forEach { adopt(it.stored) }
        return true
    }

    private suspend fun list(): FeedFailure? {
        val listing = feed.list(ObjectKind.CONFIGURATION).getOrElse { return it }
        revision = listing.storeRevision
        era = listing.era
        listing.objects.forEach(::adopt)
        return null
    }

    private fun adopt(stored: StoredObject) {
        val text = stored.text.orEmpty()
        sizeBytes = text.length
        val decoded: Result<TrafficConfiguration, String> = decodeConfiguration(text)
        decoded.fold(
            success = { if (it.version > (current?.version ?: Long.MIN_VALUE)) current = it },
            failure = onRejected
        )
    }

    private companion object {
        const val CHECK_WAIT_MILLIS = 1L

        // The next version may be larger. If there are several, a listing is smaller.
        const val CHANGES_MIN_BYTES = 64 * 1024
    }
}
