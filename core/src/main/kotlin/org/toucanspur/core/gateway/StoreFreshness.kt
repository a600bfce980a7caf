/*
 * How old the evidence of an entry about each kind of object is. A response proves the state of the
 * store at the start of its call, however late it arrives: the store may have ended a wait early,
 * the link may have held the response back, and the process may have been paused.
 *
 * The store has one revision counter for all kinds, so responses about different kinds can be
 * ordered. Of two responses, the one with the higher revision is the later one, and includes all
 * that was acknowledged before the call of the other one started.
 *
 * A watch that waits on a connection that has gone silent gets no changes. It is noticed when
 * another watch gets a response with a higher revision.
 */
package org.toucanspur.core.gateway

import org.toucanspur.core.platform.ObjectKind

/**
 * Freshness of the kinds in [limitsMillis], each with the age up to which an entry may act on it.
 * Not thread-safe.
 */
class StoreFreshness(limitsMillis: Map<ObjectKind, Long>) {
    private val evidence = limitsMillis.mapValues { KindEvidence(it.value) }
    private var respondedAt: ClockReading? = null
    private var respondedRevision = Long.MIN_VALUE
    private var newestEra: Long? = null
    private var previousEraRespondedAt: ClockReading? = null
    private var newestRevision: Long? = null
    private var changedAt: ClockReading? = null

    /** Freshness of [kind]. */
    operator fun get(kind: ObjectKind): Freshness = evidence.getValue(kind).freshness

    /** When the store last responded in an era before [era]; null if it did not. */
    fun lastRespondedBefore(era: Long): ClockReading? =
        if (newestEra == era) previousEraRespondedAt else respondedAt

    /**
     * Records that [kind] is known up to [revision] of [era], by a response to a call that was
     * started [at] and ended at [now]. In another era the store may have other objects at the
     * revisions that are known.
     */
    fun onConfirmed(
        kind: ObjectKind,
        revision: Long,
        at: ClockReading,
        now: ClockReading,
        era: Long? = null
    ) {
        val confirmed = evidence[kind] ?: return
        if (era != newestEra) startEra(era)
        val newest = newestRevision
        if (newest == null || revision > newest) {
            newestRevision = revision
            if (newest != null) changedAt = at
        }
        confirmed.revision = revision
        confirmed.heardAt = now
        confirmed.freshness.renew(at)
        evidence.values.filter { it.revision >= revision }.forEach { it.renew(at) }
        val latest = respondedAt
        if (latest != null && revision >= respondedRevision) confirmed.freshness.renew(latest)
        if (latest == null || at.monotonicMillis > latest.monotonicMillis) {
            respondedAt = at
            respondedRevision = revision
        }
    }

    private fun startEra(era: Long?) {
        evidence.values.forEach { it.revision = Long.MIN_VALUE }
        previousEraRespondedAt = respondedAt
        newestEra = era
        newestRevision = null
        respondedRevision = Long.MAX_VALUE
    }

    /** Whether the store had a higher revision than before within [periodMillis] before [now]. */
    fun isChanging(now: ClockReading, periodMillis: Long): Boolean =
        changedAt?.let { now.ageMillis(it) < periodMillis } ?: false

    /** Whether no kind was confirmed longer than [maxAgeMillis] before [now]. */
    fun areAllWithin(maxAgeMillis: Long, now: ClockReading): Boolean = evidence.values.all { kind ->
        kind.freshness.ageMillis(now).let { it != null && it < maxAgeMillis }
    }

    /**
     * Returns the kinds that may have changed without their watch noticing: the store has responded
     * about others since they were confirmed, and their own watch got no response for half of their
     * limit, or only ones that prove nothing within the limit. Each kind is returned once in half
     * of its limit.
     */
    fun takeDueForCheck(now: ClockReading): List<ObjectKind> {
        val responded = respondedAt ?: return emptyList()
        return evidence.filterValues { it.isDue(responded, now) }
            .onEach { it.value.checkedAt = now }
            .keys.toList()
    }

    private class KindEvidence(private val limitMillis: Long) {
        val freshness = Freshness(limitMillis)
        var revision = Long.MIN_VALUE
        var heardAt: ClockReading? = null
        var checkedAt: ClockReading? = null
        private val checkMillis = limitMillis / 2

        // A kind that is confirmed by a response about another one is not silent either.
        fun renew(at: ClockReading) {
            freshness.renew(at)
            val heard = heardAt
            if (heard == null || at.monotonicMillis > heard.monotonicMillis) heardAt = at
        }

        fun isDue(respondedAt: ClockReading, now: ClockReading): Boolean {
            val ageMillis = freshness.ageMillis(now) ?: return false
            val silentMillis = heardAt?.let(now::ageMillis) ?: ageMillis
            val isSuspect = silentMillis >= checkMillis || ageMillis >= limitMillis
            val isCheckOld = checkedAt?.let { now.ageMillis(it) >= checkMillis } ?: true
            return isSuspect && ageMillis > now.ageMillis(respondedAt) && isCheckOld
        }
    }
}
