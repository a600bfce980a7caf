/*
 * Checks the rules of order for calls to the operations API.
 */
package org.toucanspur.standin.platform

/** A call to the operations API; [subject] is what the [duty] is done for. */
data class DutyCall(
    val duty: String,
    val subject: String,
    val holder: String,
    val fencing: Long,
    /** Window of a usage report; null for other duties. */
    val window: Long? = null,
    val counts: Map<String, Long> = emptyMap()
)

/** Collects the violations of the rules for leases of [leaseMillis]. Not thread-safe. */
class DutyRules(private val leaseMillis: Long) {
    private class SubjectState {
        var highestFencing = 0L
        val holderByFencing = HashMap<Long, String>()
        val lastCallMillis = HashMap<String, Long>()
        var lastHolder: String? = null
    }

    private val subjects = HashMap<Pair<String, String>, SubjectState>()
    private val countsByWindow = HashMap<Long, Map<String, Long>>()
    private val found = ArrayList<String>()

    /** Descriptions of the violations, in order. */
    val violations: List<String> get() = found

    /** Number of calls that were checked. */
    var calls = 0
        private set

    /** Number of changes of holder, over all subjects. */
    var holderChanges = 0
        private set

    /** Checks [call], which arrived at [nowMillis]. */
    fun onCall(call: DutyCall, nowMillis: Long) {
        calls++
        val state = subjects.getOrPut(call.duty to call.subject) { SubjectState() }
        checkFencing(call, state)
        checkHolder(call, state, nowMillis)
        val window = call.window ?: return
        val earlier = countsByWindow.putIfAbsent(window, call.counts)
        if (earlier != null && earlier != call.counts) {
            found += "two counts for window $window: $earlier and $call"
        }
    }

    private fun checkFencing(call: DutyCall, state: SubjectState) {
        if (call.fencing < state.highestFencing) {
            found += "fencing number below ${state.highestFencing}: $call"
        }
        state.highestFencing = maxOf(state.highestFencing, call.fencing)
        val holder = state.holderByFencing.getOrPut(call.fencing) { call.holder }
        if (holder != call.holder) found += "fencing number of $holder: $call"
    }

    private fun checkHolder(call: DutyCall, state: SubjectState, nowMillis: Long) {
        val previousMillis = state.lastCallMillis.put(call.holder, nowMillis)
        if (state.lastHolder == call.holder) return
        if (state.lastHolder != null) holderChanges++
        if (previousMillis != null && nowMillis - previousMillis < leaseMillis) {
            val agoMillis = nowMillis - previousMillis
            found += "${state.lastHolder} acted between two calls of a holder $agoMillis ms: $call"
        }
        state.lastHolder = call.holder
    }
}
