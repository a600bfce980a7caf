/*
 * Decides how many endpoints a service has in each availability zone. New endpoints serve only
 * after their boot time, so a rise that lasts is followed at once and a trend is extended by that
 * time, while bursts are left to the queues. Endpoints are removed slowly: an idle one costs less
 * than the requests that would be refused until its replacement serves.
 */
package org.toucanspur.core.duties

import kotlin.math.ceil
import org.toucanspur.core.gateway.ServiceScaling
import org.toucanspur.schema.ZoneId

/** Endpoints of a service in [zone]: [live] ones take requests. */
data class ZoneEndpoints(val zone: ZoneId, val live: Int, val isEvacuated: Boolean = false)

/** Number of endpoints of one service. Not thread-safe. */
class EndpointScaling {
    private val history = DemandHistory()
    private val zones = HashMap<ZoneId, ZoneState>()
    private var isFirstOrder: Boolean? = null
    private var changedMillis = Long.MIN_VALUE

    /**
     * Records the state at [nowMillis], with the demand in [endpoints] that it would keep busy, or
     * null when it is not known, and the [orders] in force. Called about twice a second.
     */
    fun observe(
        endpoints: Double?,
        current: List<ZoneEndpoints>,
        orders: Map<ZoneId, Int>,
        nowMillis: Long
    ) {
        if (endpoints != null) history.add(endpoints, nowMillis)
        val listed = current.associateBy { it.zone }
        (listed.keys + orders.keys).forEach { zones.getOrPut(it) { ZoneState() } }
        zones.forEach { (zone, state) ->
            state.observe(listed[zone] ?: ZoneEndpoints(zone, 0), orders[zone], nowMillis)
        }
    }

    /**
     * Numbers of endpoints to order by zone, given the [orders] in force. The demand has to be
     * known at [nowMillis]. Zones for which nothing changes are left out.
     */
    fun decide(
        scaling: ServiceScaling,
        orders: Map<ZoneId, Int>,
        nowMillis: Long
    ): Map<ZoneId, Int> {
        val isFirst = isFirstOrder ?: orders.isEmpty().also { isFirstOrder = it }
        val bounds = scaling.minimum..scaling.maximum
        val targets = zones.mapValuesTo(HashMap()) { (zone, state) ->
            (orders[zone] ?: state.baseline).coerceIn(bounds)
        }
        val open = zones.filterValues { !it.isEvacuated }
        val total = open.keys.sumOf { targets.getValue(it) }
        val missing = open.mapValues { (zone, state) ->
            state.undelivered(targets.getValue(zone), scaling.bootMillis, nowMillis)
        }
        val wanted = wantedTotal(
            total - missing.values.sum(),
            risingLevel(scaling.bootMillis, isFirst, nowMillis),
            nowMillis
        )
        val change = wanted + missing.values.sum() - total
        if (change > 0) add(targets, open.keys.filter { missing[it] == 0 }, change, bounds)
        if (change < 0) remove(targets, open.keys, -change, bounds)
        val changed = targets.filter { (zone, count) ->
            count != (orders[zone] ?: zones.getValue(zone).baseline)
        }
        if (changed.isNotEmpty()) changedMillis = nowMillis
        return changed
    }

    /** Zones whose order in [orders] has not been carried out and is repeated now. */
    fun repeats(orders: Map<ZoneId, Int>, nowMillis: Long): Map<ZoneId, Int> =
        orders.filter { (zone, count) -> zones[zone]?.isRepeatDue(count, nowMillis) == true }

    /** Records the [reply] to an order for [zone]. */
    fun onOrdered(zone: ZoneId, reply: DutyReply, nowMillis: Long) {
        val repeatMillis = when (reply) {
            DutyReply.ACCEPTED, DutyReply.UNKNOWN -> REPEAT_MILLIS
            DutyReply.RATE_LIMITED -> RATE_LIMITED_MILLIS
            DutyReply.REJECTED -> REJECTED_MILLIS
        }
        zones.getOrPut(zone) { ZoneState() }.repeatMillis = nowMillis + repeatMillis
    }

    private fun wantedTotal(total: Int, rising: Double?, nowMillis: Long): Int {
        val upper = if (rising == null) total else ceil(rising / USE_MAX).toInt()
        if (upper > total) return upper
        // Before the callers of a deployment begin, it needs no endpoints, but it will.
        val hasBegun = history.startMillis?.let { nowMillis - it >= PEAK_MILLIS } ?: false
        if (!hasBegun) return total
        val peak = history.level(nowMillis, PEAK_MILLIS, PEAK_QUANTILE) ?: return total
        val lower = maxOf(upper, ceil(peak / USE_MIN).toInt())
        val isSettled = changedMillis == Long.MIN_VALUE ||
            nowMillis - changedMillis >= REMOVAL_MILLIS
        if (lower >= total || !isSettled) return total
        return maxOf(lower, total - maxOf(1, (total * REMOVAL_SHARE).toInt()))
    }

    // The first rise of a deployment is no burst: its endpoints start with fewer than they need.
    private fun risingLevel(bootMillis: Long, isFirstOrder: Boolean, nowMillis: Long): Double? {
        val start = history.startMillis ?: return null
        val isFirst = isFirstOrder && nowMillis - start < FIRST_MILLIS
        val length = if (isFirst) FIRST_SUSTAINED_MILLIS else SUSTAINED_MILLIS
        fun level(periodsAgo: Int) =
            history.level(nowMillis - periodsAgo * length, length, SUSTAINED_QUANTILE)
        val now = level(0) ?: return null
        val before = level(1) ?: return now
        val earlier = level(2) ?: return now
        // A single step shows in one of the differences only and is not extended.
        val rise = minOf(now - before, before - earlier)
        if (rise <= 0) return now
        return now + minOf(rise * bootMillis / length, now * TREND_SHARE_MAX)
    }

    private fun add(
        targets: MutableMap<ZoneId, Int>,
        open: Collection<ZoneId>,
        count: Int,
        bounds: IntRange
    ) = repeat(count) {
        val zone = open.filter { targets.getValue(it) < bounds.last }
            .minWithOrNull(compareBy({ targets.getValue(it) }, { it.value })) ?: return
        targets.merge(zone, 1, Int::plus)
    }

    private fun remove(
        targets: MutableMap<ZoneId, Int>,
        open: Collection<ZoneId>,
        count: Int,
        bounds: IntRange
    ) = repeat(count) {
        val zone = open.filter { targets.getValue(it) > bounds.first }
            .maxWithOrNull(compareBy({ targets.getValue(it) }, { it.value })) ?: return
        targets.merge(zone, -1, Int::plus)
    }

    private class ZoneState {
        var repeatMillis = Long.MIN_VALUE
        var isEvacuated = false
            private set
        private var live = 0
        private var order: Int? = null
        private var shortSinceMillis: Long? = null
        private val recentLive = ArrayDeque<Pair<Long, Int>>()

        /** Number of endpoints before the first order; those that crashed a moment ago count. */
        val baseline: Int get() = recentLive.maxOfOrNull { it.second } ?: 0

        fun observe(current: ZoneEndpoints, order: Int?, nowMillis: Long) {
            live = current.live
            isEvacuated = current.isEvacuated
            recentLive.addLast(nowMillis to live)
            while (nowMillis - recentLive.first().first > BASELINE_MILLIS) recentLive.removeFirst()
            val isShort = order != null && live < order
            val since = shortSinceMillis?.takeIf { order == this.order } ?: nowMillis
            shortSinceMillis = if (isShort) since else null
            this.order = order
        }

        /** Endpoints that the platform has not started long after they were ordered. */
        fun undelivered(order: Int, bootMillis: Long, nowMillis: Long): Int {
            val since = shortSinceMillis ?: return 0
            if (nowMillis - since < bootMillis + DELIVERY_MILLIS) return 0
            return maxOf(0, order - live)
        }

        fun isRepeatDue(order: Int, nowMillis: Long): Boolean =
            live != order && nowMillis >= repeatMillis
    }

    private companion object {
        /** Use of the endpoints above which more are ordered. */
        const val USE_MAX = 0.85

        /** Use that the endpoints have at most after a removal. */
        const val USE_MIN = 0.78

        // Bursts last up to 4 s and the demand is an average over 1 s, so three quarters of the
        // time show no burst.
        const val SUSTAINED_MILLIS = 6000L
        const val SUSTAINED_QUANTILE = 0.25
        const val FIRST_SUSTAINED_MILLIS = 1500L
        const val FIRST_MILLIS = 10_000L
        const val TREND_SHARE_MAX = 0.05

        // Bursts are less than a seventh of this time.
        const val PEAK_MILLIS = 40_000L
        const val PEAK_QUANTILE = 0.85
        const val REMOVAL_MILLIS = 10_000L
        const val REMOVAL_SHARE = 0.1
        const val BASELINE_MILLIS = 20_000L
        const val REPEAT_MILLIS = 3000L
        const val RATE_LIMITED_MILLIS = 1000L
        const val REJECTED_MILLIS = 10_000L

        // The record of a new endpoint appears some seconds after its boot time.
        const val DELIVERY_MILLIS = 6000L
    }
}
