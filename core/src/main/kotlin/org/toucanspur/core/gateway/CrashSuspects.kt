/*
 * Finds the requests that crash endpoints and refuses them. The suspects of a crash are the
 * fingerprints of the requests that ran at the endpoint: one for each shared part of the prompt, if
 * the request was about to begin, and one for the request as a whole. A part with which any
 * response has progressed since is cleared, so that parts which are merely popular are not refused;
 * a whole request is cleared only by a complete response, as an endpoint may crash within it.
 * Crashes are counted only one after the other: a crash counts if its request was sent after the
 * last counted crash, so that endpoints which fail together, such as those of one availability
 * zone, count once. Nothing is refused for good while the service makes no progress with other
 * requests either; a whole request is only held back for a time.
 *
 * Entries exchange what they have seen, since the requests arrive at any of them. Times in
 * exchanged evidence are ages, as clocks differ between VMs.
 */
package org.toucanspur.core.gateway

import java.nio.ByteBuffer
import java.security.MessageDigest
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ServiceResponses
import org.toucanspur.schema.SuspectCrash
import org.toucanspur.schema.SuspectEvidence
import org.toucanspur.schema.VmId

/** Identifies what several requests have in common: a prompt part or the whole request. */
@JvmInline
value class Fingerprint(val value: Long) {
    /** The value in hexadecimal. */
    val text: String get() = value.toHexString()
}

/** Fingerprint of the prompt part [part] at [service]. */
fun partFingerprint(service: ServiceId, part: String): Fingerprint =
    fingerprint("part", service.value, part)

/** Fingerprint of all requests to [service] that are the same for an endpoint. */
fun requestFingerprint(
    service: ServiceId,
    organisation: OrganisationId?,
    method: String,
    path: String,
    body: ByteArray
): Fingerprint =
    fingerprint("request", service.value, organisation?.value.orEmpty(), method, path, body = body)

private fun fingerprint(vararg texts: String, body: ByteArray = ByteArray(0)): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    texts.forEach {
        val bytes = it.encodeToByteArray()
        digest.update(bytes.size.toString().encodeToByteArray())
        digest.update(':'.code.toByte())
        digest.update(bytes)
    }
    return Fingerprint(ByteBuffer.wrap(digest.digest(body)).getLong())
}

/** One run of an endpoint between two starts. */
data class EndpointRun(val id: EndpointId, val startedAtMillis: Long) {
    /** Identifies the run among all entries. */
    val fingerprint: Fingerprint by lazy { fingerprint("endpoint", id.value, "$startedAtMillis") }
}

/** An attempt that was lost before its response was complete; [fingerprints] are suspects. */
data class LostAttempt(
    val endpoint: EndpointRun,
    val fingerprints: List<Fingerprint>,
    val sentMillis: Long,
    val lostMillis: Long
)

/** Limits of [CrashSuspects]. */
data class CrashSuspectLimits(
    /** Crashes one after the other from which on a fingerprint is refused. */
    val crashesMax: Int = 3,
    /** Responses of the service that must have progressed since the first of these crashes. */
    val otherResponsesMin: Int = 4,
    /**
     * Time within which a lost attempt is a crash if its endpoint is found to be down. Longer than
     * the expiry of a record, which may be all that shows the crash of an endpoint without agent.
     */
    val confirmationMillis: Long = 6000,
    /** Time after its last crash or its last send for which a request is held back. */
    val holdMillis: Long = 6000,
    /** Time after which crashes of a fingerprint that is not refused are forgotten. */
    val memoryMillis: Long = 60_000,
    /** Time for which a fingerprint is refused after the last request with it. */
    val refusalMillis: Long = 600_000,
    val suspectsMax: Int = 1024,
    val progressMax: Int = 4096,
    val lostAttemptsMax: Int = 512
)

/** Evidence of one entry and of those with which it exchanges evidence. Not thread-safe. */
class CrashSuspects(private val limits: CrashSuspectLimits = CrashSuspectLimits()) {
    private data class Crash(val endpoint: Fingerprint, val sentMillis: Long, val lostMillis: Long)

    private class Suspect {
        var crashes = emptyList<Crash>()
        var isRefused = false
        var seenMillis = Long.MIN_VALUE

        /** Time at which this entry last sent the request since the first crash. */
        var sentMillis = Long.MIN_VALUE
    }

    private val lostAttempts = ArrayDeque<LostAttempt>()
    private val suspects = recentlyUsed<Fingerprint, Suspect>(limits.suspectsMax)
    private val progressMillis = recentlyUsed<Fingerprint, Long>(limits.progressMax)
    private val clearedMillis = recentlyUsed<Fingerprint, Long>(CLEARED_MAX)
    private val responses = RecentResponses(limits.otherResponsesMin)

    /** Increases with each change that other entries should learn. */
    var revision = 0L
        private set

    private val newlyRefused = ArrayList<Fingerprint>()

    /** Number of fingerprints under suspicion, including those that are refused. */
    val size: Int get() = suspects.size

    /** Number of fingerprints that are refused. */
    val refusedCount: Int get() = suspects.values.count { it.isRefused }

    /** Whether there are lost attempts whose endpoint may still be found to be down. */
    val isConfirming: Boolean get() = lostAttempts.isNotEmpty()

    /** Records an attempt that was lost, for whatever reason. */
    fun onLost(attempt: LostAttempt) {
        if (lostAttempts.size >= limits.lostAttemptsMax) lostAttempts.removeFirst()
        lostAttempts.addLast(attempt)
    }

    /** Counts the lost attempts whose endpoint went down by [isDown], and returns them. */
    fun confirm(nowMillis: Long, isDown: (LostAttempt) -> Boolean): List<LostAttempt> {
        if (lostAttempts.isEmpty()) return emptyList()
        lostAttempts.removeAll { nowMillis - it.lostMillis > limits.confirmationMillis }
        val confirmed = lostAttempts.filter(isDown)
        lostAttempts.removeAll(confirmed.toSet())
        if (confirmed.isNotEmpty()) revision++
        confirmed.forEach { attempt ->
            val crash =
                Crash(attempt.endpoint.fingerprint, attempt.sentMillis, attempt.lostMillis)
            attempt.fingerprints.forEach { addCrashes(it, listOf(crash), nowMillis) }
        }
        return confirmed
    }

    /** Records that a response of [service] has progressed. */
    fun onResponse(service: ServiceId, nowMillis: Long) {
        val crashedMillis = lastPendingCrashMillis(nowMillis)
        val isNews = crashedMillis != null &&
            responses.ownCountSince(service, crashedMillis) < limits.otherResponsesMin
        if (isNews) revision++
        responses.add(service, nowMillis)
    }

    /** Whether the other entries should learn the [responses] of this one. */
    fun needsResponses(nowMillis: Long): Boolean = lastPendingCrashMillis(nowMillis) != null

    // The last crash of those suspects whose refusal depends on other responses.
    private fun lastPendingCrashMillis(nowMillis: Long): Long? = suspects.values
        .filter { !it.isRefused && it.crashes.size >= limits.crashesMax }
        .maxOfOrNull { it.crashes.last().lostMillis }
        ?.takeIf { nowMillis - it < PENDING_MILLIS }

    /** The last responses of each service at this entry. */
    fun responses(nowMillis: Long): List<ServiceResponses> = responses.report(nowMillis)

    /** Applies the [reported] responses of the entry on [sender]. */
    fun mergeResponses(sender: VmId, reported: List<ServiceResponses>, nowMillis: Long) =
        responses.merge(sender, reported, nowMillis)

    /** Clears [fingerprints], with which a response shows that they do not crash endpoints. */
    fun clear(fingerprints: List<Fingerprint>, nowMillis: Long) = fingerprints.forEach {
        progressMillis[it] = nowMillis
        if (suspects.remove(it) != null) {
            clearedMillis[it] = nowMillis
            revision++
        }
    }

    /** Whether a request to [service] with [fingerprints] is refused; extends the refusal. */
    fun isRefused(service: ServiceId, fingerprints: List<Fingerprint>, nowMillis: Long): Boolean {
        if (suspects.isEmpty()) return false
        val refused = fingerprints.filter { isRefused(service, it, nowMillis) }
        refused.forEach { suspects[it]?.seenMillis = nowMillis }
        return refused.isNotEmpty()
    }

    /**
     * Whether a request as a whole is held back: it has crashed as many endpoints as a refusal
     * needs, but the service has not responded to others since. One that crashes all endpoints of a
     * small service as soon as they are back would prevent these responses.
     */
    fun isHeldBack(request: Fingerprint, nowMillis: Long): Boolean {
        val suspect = suspects[request] ?: return false
        return isHeldBack(request, suspect, nowMillis)
    }

    private fun isHeldBack(request: Fingerprint, suspect: Suspect, nowMillis: Long): Boolean {
        if (isExpired(suspect, nowMillis)) return false
        val crashes = unexplainedCrashes(request, suspect)
        if (crashes.size < limits.crashesMax) return false
        return nowMillis - maxOf(crashes.last().lostMillis, suspect.sentMillis) < limits.holdMillis
    }

    /**
     * Whether a request to [service] with [fingerprints], of which [request] is its own, is refused
     * or held back. Unlike [isRefused], changes nothing.
     */
    fun wouldRefuse(
        service: ServiceId,
        fingerprints: List<Fingerprint>,
        request: Fingerprint,
        nowMillis: Long
    ): Boolean = suspects.entries
        // A look-up by key would count as a use.
        .filter { it.key in fingerprints && !isExpired(it.value, nowMillis) }
        .any { (fingerprint, suspect) ->
            suspect.isRefused ||
                isGuilty(fingerprint, suspect, service) ||
                fingerprint == request &&
                isHeldBack(fingerprint, suspect, nowMillis)
        }

    /** Records that a request is sent; one that was held back before is held back again. */
    fun onSend(request: Fingerprint, nowMillis: Long) {
        suspects[request]?.sentMillis = nowMillis
    }

    /** Returns the fingerprints that this entry has begun to refuse since the last call. */
    fun takeNewlyRefused(): List<Fingerprint> = newlyRefused.toList().also { newlyRefused.clear() }

    private fun isRefused(service: ServiceId, fingerprint: Fingerprint, nowMillis: Long): Boolean {
        val suspect = suspects[fingerprint]?.takeUnless { isExpired(it, nowMillis) } ?: return false
        if (!suspect.isRefused &&
            isGuilty(fingerprint, suspect, service)
        ) {
            refuse(fingerprint, suspect)
        }
        return suspect.isRefused
    }

    private fun isGuilty(fingerprint: Fingerprint, suspect: Suspect, service: ServiceId): Boolean {
        val counted = consecutive(unexplainedCrashes(fingerprint, suspect))
        if (counted.size < limits.crashesMax) return false
        val others = responses.countSince(service, counted.first().lostMillis)
        return others >= limits.otherResponsesMin
    }

    // The crashes that no other fingerprint explains.
    private fun unexplainedCrashes(fingerprint: Fingerprint, suspect: Suspect): List<Crash> {
        if (suspect.crashes.size < limits.crashesMax) return emptyList()
        val outweighing = suspects.entries.filter {
            outweighs(it.key, it.value, fingerprint, suspect)
        }
        val explained = outweighing.flatMap { other -> other.value.crashes.map { it.endpoint } }
            .toSet()
        return suspect.crashes.filter { it.endpoint !in explained }
    }

    // A crash counts only against the fingerprint that has most crashes, as the requests that it
    // takes with it are often the same ones, sent again.
    private fun outweighs(
        otherFingerprint: Fingerprint,
        other: Suspect,
        fingerprint: Fingerprint,
        suspect: Suspect
    ): Boolean = when {
        other.crashes.size != suspect.crashes.size -> other.crashes.size > suspect.crashes.size
        else -> fingerprint in progressMillis && otherFingerprint !in progressMillis
    }

    private fun refuse(fingerprint: Fingerprint, suspect: Suspect) {
        if (suspect.isRefused) return
        suspect.isRefused = true
        newlyRefused += fingerprint
        revision++
    }

    /** Applies [evidence] of another entry. */
    fun merge(evidence: List<SuspectEvidence>, nowMillis: Long) =
        evidence.take(EVIDENCE_MAX).forEach { merge(it, nowMillis) }

    private fun merge(item: SuspectEvidence, nowMillis: Long) {
        val fingerprint = Fingerprint(item.fingerprint)
        val seenMillis = nowMillis - item.seenAgeMillis
        if (item.crashes.isEmpty()) {
            clearUntil(fingerprint, seenMillis)
            return
        }
        val crashes = item.crashes.take(CRASHES_KEPT).map {
            Crash(
                Fingerprint(it.endpoint),
                nowMillis - it.sentAgeMillis,
                nowMillis - it.lostAgeMillis
            )
        }
        addCrashes(fingerprint, crashes, seenMillis)
        if (item.isRefused) suspects[fingerprint]?.let { refuse(fingerprint, it) }
    }

    /** Evidence for the other entries: what is refused, and what is new. */
    fun evidence(nowMillis: Long): List<SuspectEvidence> {
        suspects.values.removeAll { isExpired(it, nowMillis) }
        clearedMillis.values.removeAll { nowMillis - it > NEWS_MILLIS }
        val cleared = clearedMillis.map { (fingerprint, at) ->
            SuspectEvidence(fingerprint.value, nowMillis - at, isRefused = false, emptyList())
        }
        val crashes = suspects.entries
            .filter {
                it.value.isRefused || nowMillis - it.value.seenMillis <= newsMillis(it.value)
            }
            .sortedWith(
                compareBy(
                    { !it.value.isRefused },
                    { -it.value.crashes.size },
                    { -it.value.seenMillis }
                )
            )
            .map { (fingerprint, suspect) -> evidence(fingerprint, suspect, nowMillis) }
        return (cleared + crashes).take(EVIDENCE_MAX)
    }

    // An endpoint that crashes makes all its requests suspects, most of which crash no other.
    private fun newsMillis(suspect: Suspect): Long =
        if (suspect.crashes.size == 1) SINGLE_CRASH_NEWS_MILLIS else NEWS_MILLIS

    private fun evidence(fingerprint: Fingerprint, suspect: Suspect, nowMillis: Long) =
        SuspectEvidence(
            fingerprint.value,
            nowMillis - suspect.seenMillis,
            suspect.isRefused,
            suspect.crashes.map {
                SuspectCrash(
                    it.endpoint.value,
                    nowMillis - it.sentMillis,
                    nowMillis - it.lostMillis
                )
            }
        )

    private fun addCrashes(fingerprint: Fingerprint, added: List<Crash>, seenMillis: Long) {
        val progress = progressMillis[fingerprint] ?: Long.MIN_VALUE
        val newer = added.filter { it.lostMillis > progress }
        if (newer.isEmpty()) {
            // The entry that sent the crash has not learned yet that the fingerprint is cleared.
            clearedMillis[fingerprint] = progress
            return
        }
        val suspect = suspects.getOrPut(fingerprint, ::Suspect)
        suspect.seenMillis = maxOf(suspect.seenMillis, seenMillis)
        val known = suspect.crashes.map { it.endpoint }.toSet()
        val all = suspect.crashes + newer.filter { it.endpoint !in known }
        val oldestMillis = all.maxOf { it.lostMillis } - limits.memoryMillis
        suspect.crashes = all.filter { it.lostMillis >= oldestMillis }
            .sortedBy { it.lostMillis }
            .takeLast(CRASHES_KEPT)
    }

    // The crashes for each of which the request was sent after the crash before.
    private fun consecutive(crashes: List<Crash>): List<Crash> {
        var lastMillis = Long.MIN_VALUE
        return crashes.filter {
            val counts = it.sentMillis >= lastMillis
            if (counts) lastMillis = it.lostMillis
            counts
        }
    }

    private fun clearUntil(fingerprint: Fingerprint, progressedMillis: Long) {
        val known = progressMillis[fingerprint] ?: Long.MIN_VALUE
        progressMillis[fingerprint] = maxOf(known, progressedMillis)
        val suspect = suspects[fingerprint] ?: return
        suspect.crashes = suspect.crashes.filter { it.lostMillis > progressedMillis }
        suspect.isRefused = suspect.isRefused && suspect.crashes.size >= limits.crashesMax
        if (suspect.crashes.isEmpty()) suspects.remove(fingerprint)
    }

    private fun isExpired(suspect: Suspect, nowMillis: Long): Boolean {
        val lasting = if (suspect.isRefused) limits.refusalMillis else limits.memoryMillis
        return nowMillis - suspect.seenMillis > lasting
    }

    private companion object {
        const val CRASHES_KEPT = 12
        const val CLEARED_MAX = 16
        const val NEWS_MILLIS = 3000L
        const val SINGLE_CRASH_NEWS_MILLIS = 1000L

        // Endpoints are back a few seconds after a crash, and the service responds again.
        const val PENDING_MILLIS = 10_000L
        const val EVIDENCE_MAX = 24
    }
}

internal fun <K, V> recentlyUsed(sizeMax: Int): MutableMap<K, V> =
    object : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>) = size > sizeMax
    }

private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f
