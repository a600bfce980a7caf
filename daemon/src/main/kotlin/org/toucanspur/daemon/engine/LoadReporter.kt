/*
 * Reports the load of the endpoint to the entries that queried it recently. A report is pushed when
 * the load changes, and otherwise every 250 ms or two report periods, whichever is longer.
 */
package org.toucanspur.daemon.engine

import java.net.InetSocketAddress
import org.toucanspur.core.gateway.reportPeriodMillis
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.VmId

/** Sends load reports of [vm] to its subscribers through [datagrams]. */
class LoadReporter(private val vm: VmId, private val datagrams: Datagrams) {
    private val subscribers = HashMap<InetSocketAddress, Long>()
    private var sequence = 0L
    private var lastReport: LoadReport? = null
    private var lastSentMillis = 0L

    /** Interval between reports while the load changes; depends on the number of subscribers. */
    val periodMillis: Long get() = reportPeriodMillis(subscribers.size)

    /** Subscribes [entry] to reports, or renews its subscription. */
    fun onQuery(entry: InetSocketAddress) {
        if (entry !in subscribers && subscribers.size >= SUBSCRIBERS_MAX) return
        subscribers[entry] = monotonicMillis()
    }

    /** Relays the [frame] of one entry to the others. */
    fun relay(frame: Frame, sender: InetSocketAddress) {
        val encoded = encodeFrame(frame)
        subscribers.keys.filter { it != sender }.forEach { datagrams.sendEncoded(encoded, it) }
    }

    /** Reports the state of the endpoint; [report] is null when the endpoint does not respond. */
    fun push(report: EngineReport?, model: ModelId?, isLoading: Boolean, nextLoadMillis: Long) {
        val now = monotonicMillis()
        subscribers.values.removeIf { now - it > SUBSCRIPTION_TIMEOUT_MILLIS }
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
            pacePercent = report?.pacePercent ?: DEFAULT_PACE_PERCENT,
            periodMillis = periodMillis,
            entries = subscribers.size,
            entryIndex = 0,
            isResponding = report != null
        )
        if (next == lastReport &&
            now - lastSentMillis < maxOf(IDLE_PERIOD_MILLIS, 2 * periodMillis)
        ) {
            return
        }
        lastReport = next.copy(sequence = sequence + 1)
        sequence++
        lastSentMillis = now
        // All agents index the entries in the same order. The entries rotate the index by the
        // sequence number, so that spare slots at several endpoints do not all go to one entry.
        val encoder = LoadReportEncoder(next.copy(sequence = sequence))
        subscribers.keys.sortedBy { it.toString() }.forEachIndexed { index, entry ->
            datagrams.sendEncoded(encoder.encode(index), entry)
        }
    }

    private companion object {
        const val DEFAULT_PACE_PERCENT = 100

        // Entries query once a second; a subscription outlives two lost queries.
        const val SUBSCRIPTION_TIMEOUT_MILLIS = 3500L
        const val IDLE_PERIOD_MILLIS = 250L

        // Several times the largest number of entries. Anyone can send a query, and each
        // subscriber gets each report.
        const val SUBSCRIBERS_MAX = 2048
    }
}
