/*
 * Requests of one entry that wait for a free slot at an endpoint. The load: two thirds more
 * requests than the engines can serve, from 24 organisations of which one sends much of the
 * traffic, in bursts of some seconds, while endpoints crash and load weights.
 *
 * Requests are served by rank; within a rank by weighted fair queueing between organisations, by
 * cost and with equal weights; within an organisation by the time until which service is useful.
 * A part of the capacity goes to the lower ranks first, so that they do not starve. Requests with
 * the same constraints on their endpoint form a group: if one finds all endpoints busy, so will
 * the others, and they are not asked for in the same pass. A pass costs as much as the number of
 * requests placed and of groups.
 */
package org.toucanspur.core.gateway

import java.util.IdentityHashMap
import java.util.PriorityQueue
import java.util.TreeMap
import java.util.TreeSet
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId

/** A request that waits for a free slot; its properties do not change while it waits. */
interface WaitingCall {
    val serviceId: ServiceId

    /** Order between kinds; 0 is served first. */
    val rank: Int

    /** Organisation of the caller; null for anonymous callers. */
    val organisationId: OrganisationId?

    /** Time that the request occupies an engine, or a slot of an endpoint without one. */
    val costMillis: Double

    /** Time until which service is useful; the request is refused then. */
    val untilMillis: Long

    /** Time from which the request is refused unless it is expected to be served in time. */
    val reviewMillis: Long

    /** Memory that the request occupies. */
    val heldBytes: Long

    /** Constraints on the endpoint; equal for requests that can use the same endpoints. */
    val placementKind: Any
}

/** What became of an attempt to place a waiting request. */
enum class PlacementResult {
    /** The request was sent or has ended. */
    PLACED,

    /** No endpoint has room for requests of this kind. */
    BUSY
}

/** Scheduler of the waiting requests of one entry. Not thread-safe. */
class WaitingCalls<T : WaitingCall>(private val heldMaxBytes: Long) {
    private val nodes = IdentityHashMap<T, Node<T>>()
    private val levels = TreeMap<LevelKey, Level<T>>()
    private val due = TreeSet(compareBy<Node<T>>({ it.dueMillis }, { it.sequence }))
    private var heldBytes = 0L
    private var sequence = 0L
    private var isDraining = false

    /** Number of waiting requests. */
    val size: Int get() = nodes.size

    /** Number of waiting requests for [service] with a rank below [belowRank]. */
    fun sizeOf(service: ServiceId, belowRank: Int = Int.MAX_VALUE): Int =
        levelsOf(service, belowRank).sumOf { it.size }

    /** Whether a request waits that is served before [call], which does not wait. */
    fun hasBefore(call: T): Boolean = sizeOf(call.serviceId, call.rank + 1) > 0

    /** Adds a request; returns false when the memory for waiting requests is used up. */
    fun add(call: T): Boolean {
        if (!hasRoom(call)) return false
        val key = LevelKey(call.rank, call.serviceId)
        val level = levels.getOrPut(key) { Level() }
        insert(Node(call, sequence++, level, minOf(call.reviewMillis, call.untilMillis)))
        return true
    }

    /** Whether there is memory for [call] to wait. */
    fun hasRoom(call: T): Boolean = heldBytes + call.heldBytes <= heldMaxBytes

    private fun insert(node: Node<T>) {
        heldBytes += node.call.heldBytes
        node.level.add(node)
        nodes[node.call] = node
        due += node
    }

    /** Removes a request that ended while it waited; returns false when it does not wait. */
    fun remove(call: T): Boolean {
        val node = nodes.remove(call) ?: return false
        heldBytes -= call.heldBytes
        due -= node
        node.level.remove(node)
        return true
    }

    /** Records that a request was placed without waiting, which counts for its organisation. */
    fun onPlacedAtOnce(call: T) {
        levels.getOrPut(LevelKey(call.rank, call.serviceId)) { Level() }
            .charge(call.organisationId, call.costMillis)
        earnTurns(call)
    }

    /**
     * Removes and returns the requests whose time has expired at [nowMillis], and those due for
     * review whose predicted wait with [capacity] exceeds their useful time.
     */
    fun removeUnservable(nowMillis: Long, capacity: (ServiceId) -> WaitCapacity): List<T> {
        val unservable = mutableListOf<T>()
        while (due.isNotEmpty() && due.first().dueMillis <= nowMillis) {
            val node = due.pollFirst() ?: break
            val call = node.call
            val left = call.untilMillis - nowMillis
            val isServable = left > 0 && waitMillis(call, capacity(call.serviceId)) <= left
            if (isServable) {
                node.dueMillis = minOf(nowMillis + REVIEW_INTERVAL_MILLIS, call.untilMillis)
                due += node
            } else {
                remove(call)
                unservable += call
            }
        }
        return unservable
    }

    /** Predicted wait of [call], whether or not it waits already, with [capacity]. */
    fun waitMillis(call: T, capacity: WaitCapacity): Double {
        val perSecond =
            if (call.rank >= LATE_RANK_MIN) capacity.sparePerSecond else capacity.perSecond
        val before = levelsOf(call.serviceId, call.rank).sumOf { it.costMillis } +
            (levels[LevelKey(call.rank, call.serviceId)]?.costBefore(call, nodes[call]) ?: 0.0)
        return when {
            before <= 0 && perSecond > 0 -> 0.0
            perSecond <= 0 -> Double.MAX_VALUE
            else -> before / perSecond * MILLIS_PER_SECOND
        }
    }

    /**
     * Passes requests in order to [place]. A group whose request finds all endpoints busy
     * [BUSY_MAX] times is not asked again in this pass.
     */
    fun drain(place: (T) -> PlacementResult) {
        if (nodes.isEmpty() || isDraining) return
        isDraining = true
        try {
            drainOnce(place)
        } finally {
            isDraining = false
        }
    }

    private fun drainOnce(place: (T) -> PlacementResult) {
        val pass = Pass(place)
        // Levels that have earned a turn go before their rank.
        levels.values.filter { it.size > 0 && it.turnMillis >= TURN_COST_MILLIS }
            .forEach { pass.serve(it, isTurn = true) }
        levels.values.toList().forEach { pass.serve(it, isTurn = false) }
        if (levels.size > LEVELS_KEPT) levels.values.removeIf { it.size == 0 }
    }

    private inner class Pass(private val place: (T) -> PlacementResult) {
        private val busy = HashMap<Any, Int>()

        // Requests that come to wait during the pass are not asked for without end.
        private var placementsLeft = nodes.size

        fun serve(level: Level<T>, isTurn: Boolean) {
            while (placementsLeft > 0 && level.size > 0) {
                if (isTurn && level.turnMillis <= 0) return
                val node = level.next { (busy[it] ?: 0) < BUSY_MAX } ?: return
                val call = node.call
                // A request that is placed may fail at once and wait again.
                remove(call)
                if (place(call) == PlacementResult.PLACED) {
                    placementsLeft--
                    level.charge(call.organisationId, call.costMillis)
                    if (isTurn) level.turnMillis -= call.costMillis else earnTurns(call)
                } else {
                    insert(node)
                    busy.merge(call.placementKind, 1, Int::plus)
                }
            }
        }
    }

    // Lower ranks of the same service earn a part of what a higher rank uses while they wait.
    private fun earnTurns(call: T) {
        for ((key, level) in levels) {
            val isLower = key.service == call.serviceId &&
                key.rank > call.rank &&
                key.rank < LATE_RANK_MIN
            if (level.size == 0) level.turnMillis = 0.0
            if (!isLower || level.size == 0) continue
            val earned = level.turnMillis + call.costMillis * TURN_SHARE
            level.turnMillis = minOf(earned, TURN_MAX_MILLIS)
        }
    }

    private fun levelsOf(service: ServiceId, belowRank: Int): List<Level<T>> =
        levels.entries.filter { it.key.service == service && it.key.rank < belowRank }
            .map { it.value }

    private data class LevelKey(val rank: Int, val service: ServiceId) : Comparable<LevelKey> {
        override fun compareTo(other: LevelKey): Int =
            compareValuesBy(this, other, { it.rank }, { it.service.value })
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        // The first request asked for has the least time left, so another one may still fit.
        const val BUSY_MAX = 2
        const val REVIEW_INTERVAL_MILLIS = 20L

        // A kind at its minimum share takes up to a tenth of an overloaded service.
        const val TURN_SHARE = 0.12
        const val TURN_COST_MILLIS = 100.0
        const val TURN_MAX_MILLIS = 400.0
        const val LEVELS_KEPT = 64
    }
}

/** Cost that one entry can have served per second, and the part that late requests can get. */
data class WaitCapacity(val perSecond: Double, val sparePerSecond: Double)

/** Lowest rank of requests that are already late. */
const val LATE_RANK_MIN = 10

private class Node<T : WaitingCall>(
    val call: T,
    val sequence: Long,
    val level: Level<T>,
    var dueMillis: Long
)

// Waiting requests of one organisation in one group, most pressing first.
private class Lane<T : WaitingCall>(val group: Any, val share: OrganisationShare) {
    val nodes = TreeSet(compareBy<Node<T>>({ it.call.untilMillis }, { it.sequence }))

    // Virtual time of the organisation when the lane was put into the order of its group.
    var orderedAt = 0.0
    var isOrdered = false
}

// What an organisation has used of one level, as virtual time, and what it waits for.
private class OrganisationShare {
    var virtualMillis = 0.0
    var waitingMillis = 0.0
}

// Requests for one service with the same rank.
private class Level<T : WaitingCall> {
    private val shares = HashMap<OrganisationId?, OrganisationShare>()
    private val groups = LinkedHashMap<Any, Group<T>>()
    private var virtualMillis = 0.0
    var costMillis = 0.0
        private set
    var size = 0
        private set

    // Cost that may be served before higher ranks.
    var turnMillis = 0.0

    fun add(node: Node<T>) {
        val call = node.call
        val share = shareOf(call.organisationId)
        share.waitingMillis += call.costMillis
        costMillis += call.costMillis
        size++
        groups.getOrPut(call.placementKind) { Group() }.add(node, share)
    }

    fun remove(node: Node<T>) {
        val call = node.call
        shareOf(call.organisationId).waitingMillis -= call.costMillis
        size--
        costMillis = if (size == 0) 0.0 else costMillis - call.costMillis
        val group = groups[call.placementKind] ?: return
        group.remove(node)
        if (group.isEmpty) groups -= call.placementKind
    }

    // An organisation that did not wait does not save up its share.
    private fun shareOf(id: OrganisationId?): OrganisationShare {
        val share = shares.getOrPut(id) { OrganisationShare() }
        if (share.waitingMillis <= 0) {
            share.waitingMillis = 0.0
            share.virtualMillis = maxOf(share.virtualMillis, virtualMillis)
        }
        return share
    }

    fun charge(id: OrganisationId?, costMillis: Double) {
        val share = shareOf(id)
        virtualMillis = maxOf(virtualMillis, share.virtualMillis)
        share.virtualMillis += costMillis
    }

    fun next(isOpen: (Any) -> Boolean): Node<T>? {
        var best: Lane<T>? = null
        for ((kind, group) in groups) {
            if (!isOpen(kind)) continue
            val lane = group.first() ?: continue
            if (best == null || lane.share.virtualMillis < best.share.virtualMillis) best = lane
        }
        return best?.nodes?.first()
    }

    // Fair queueing serves of each other organisation about as much as of this one.
    fun costBefore(call: T, waiting: Node<T>?): Double {
        val own = shares[call.organisationId]
        val ownBefore = when {
            own == null -> 0.0
            waiting == null -> own.waitingMillis
            else -> groups[call.placementKind]?.costBefore(waiting) ?: 0.0
        }
        val turn = ownBefore + call.costMillis
        return ownBefore +
            shares.values.sumOf { if (it === own) 0.0 else minOf(it.waitingMillis, turn) }
    }
}

// Requests of one level with the same constraints on their endpoint.
private class Group<T : WaitingCall> {
    private val lanes = HashMap<OrganisationId?, Lane<T>>()
    private val order = PriorityQueue<Lane<T>>(compareBy { it.orderedAt })

    val isEmpty: Boolean get() = lanes.isEmpty()

    fun add(node: Node<T>, share: OrganisationShare) {
        val call = node.call
        val lane = lanes.getOrPut(call.organisationId) { Lane(call.placementKind, share) }
        lane.nodes += node
        if (!lane.isOrdered) order(lane)
    }

    private fun order(lane: Lane<T>) {
        lane.orderedAt = lane.share.virtualMillis
        lane.isOrdered = true
        order += lane
    }

    fun remove(node: Node<T>) {
        val id = node.call.organisationId
        val lane = lanes[id] ?: return
        lane.nodes -= node
        if (lane.nodes.isEmpty()) lanes -= id
    }

    // Virtual times only grow, so a lane whose position is outdated belongs further back.
    fun first(): Lane<T>? {
        while (true) {
            val lane = order.peek() ?: return null
            if (lane.nodes.isNotEmpty() && lane.orderedAt == lane.share.virtualMillis) return lane
            order.poll()
            lane.isOrdered = false
            if (lane.nodes.isNotEmpty()) order(lane)
        }
    }

    fun costBefore(node: Node<T>): Double =
        lanes[node.call.organisationId]?.nodes?.headSet(node)?.sumOf { it.call.costMillis } ?: 0.0
}
