/*
 * How old the evidence of an entry about each kind of object is. The store has one revision counter
 * for all kinds, so a response about one kind shows whether the other kinds may have changed: one
 * that is known up to the revision of the response is still current.
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
     * Records that [kind] is known up to [revision] of [era], which the store had at [at] or later.
     * In another era it may have other objects at the revisions that are known.
     */
    fun onConfirmed(kind: ObjectKind, revision: Long, at: ClockReading, era: Long? = null) {
        val confirmed = evidence[kind] ?: return
        if (era != newestEra) {
            evidence.values.forEach { it.revision = Long.MIN_VALUE }
            previousEraRespondedAt = respondedAt
            newestEra = era
            newestRevision = null
        }
        val newest = newestRevision
        if (newest == null || revision > newest) {
            newestRevision = revision
            if (newest != null) changedAt = at
        }
        confirmed.revision = revision
        confirmed.freshness.renew(at)
        evidence.values.filter { it.revision >= revision }.forEach { it.freshness.renew(at) }
        val previous = respondedAt
        if (previous == null || at.monotonicMillis > previous.monotonicMillis) respondedAt = at
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
     * since they were confirmed, half their limit ago or more. Each one is returned once in that
     * time.
     */
    fun takeDueForCheck(now: ClockReading): List<ObjectKind> {
        val responded = respondedAt ?: return emptyList()
        return evidence.filterValues { it.isDue(responded, now) }
            .onEach { it.value.checkedAt = now }
            .keys.toList()
    }

    private class KindEvidence(limitMillis: Long) {
        val freshness = Freshness(limitMillis)
        var revision = Long.MIN_VALUE
        var checkedAt: ClockReading? = null
        private val checkMillis = limitMillis / 2

        fun isDue(respondedAt: ClockReading, now: ClockReading): Boolean {
            val ageMillis = freshness.ageMillis(now) ?: return false
            val isCheckOld = checkedAt?.let { now.ageMillis(it) >= checkMillis } ?: true
            return ageMillis >= checkMillis && ageMillis > now.ageMillis(respondedAt) && isCheckOld
        }
    }
}
