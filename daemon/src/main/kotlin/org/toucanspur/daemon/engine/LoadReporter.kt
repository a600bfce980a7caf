/*
 * Reports the load of the endpoint to the entries that asked lately. Reports are pushed when the
 * load changes, and twice a second otherwise.
 */
package org.toucanspur.daemon.engine

import java.net.InetSocketAddress
import org.toucanspur.core.gateway.reportPeriodMillis
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.VmId

/** Pushes reports through [datagrams]. */
class LoadReporter(private val vm: VmId, private val datagrams: Datagrams) {
    private val subscribers = HashMap<InetSocketAddress, Long>()
    private var sequence = 0L
    private var last: LoadReport? = null
    private var lastMillis = 0L

    /** Time between two reports while the load changes. */
    val periodMillis: Long get() = reportPeriodMillis(subscribers.size)

    /** Notes that an entry asks for reports. */
    fun onQuery(from: InetSocketAddress) {
        subscribers[from] = monotonicMillis()
    }

    /** Pushes the state of the endpoint; [report] is null when it does not answer. */
    fun push(report: EngineReport?, model: ModelId?, isLoading: Boolean, nextLoadMillis: Long) {
        val now = monotonicMillis()
        subscribers.values.removeIf { now - it > SUBSCRIPTION_MILLIS }
        if (subscribers.isEmpty()) return
        val next = LoadReport(
            vm = vm,
            startedAtMillis = report?.startedAtMillis ?: 0,
            sequence = sequence,
            running = report?.running ?: 0,
            waiting = report?.waiting ?: 0,
            loadedVersion = model?.let { report?.loadedVersions?.get(it) } ?: 0,
            isLoading = isLoading || report == null,
            nextLoadMillis = nextLoadMillis,
            pacePercent = report?.pacePercent ?: USUAL_PACE,
            periodMillis = periodMillis,
            entries = subscribers.size,
            entryIndex = 0
        )
        if (next == last && now - lastMillis < maxOf(IDLE_MILLIS, 2 * periodMillis)) return
        last = next.copy(sequence = sequence + 1)
        sequence++
        lastMillis = now
        // Every agent numbers the entries alike, so that places that are left over at several
        // endpoints do not all fall to one entry: the turn moves on with each report.
        subscribers.keys.sortedBy { it.toString() }.forEachIndexed { index, entry ->
            datagrams.send(next.copy(sequence = sequence, entryIndex = index), entry)
        }
    }

    private companion object {
        const val USUAL_PACE = 100

        // Entries ask once a second.
        const val SUBSCRIPTION_MILLIS = 3500L
        const val IDLE_MILLIS = 250L
    }
}
