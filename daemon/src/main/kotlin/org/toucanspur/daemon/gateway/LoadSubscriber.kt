/*
 * Subscribes to load reports from the agents of endpoints. A query subscribes for a few seconds, so
 * that agents need no list of entries and the subscription of a stopped entry expires.
 */
package org.toucanspur.daemon.gateway

import java.net.InetSocketAddress
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.LoadReport

/** Applies load reports to [state] and calls [onChanged] after each. */
class LoadSubscriber(
    loop: NettyEventLoop,
    private val state: GatewayState,
    private val onChanged: () -> Unit
) {
    private val peerPort = state.settings.addresses.peerPort
    private val query = encodeFrame(LoadQuery(state.settings.node.vm))
    private val datagrams = Datagrams(
        loop,
        InetSocketAddress(state.settings.node.host, peerPort),
        ::onFrame
    )

    init {
        loop.scheduleRepeating(QUERY_MILLIS, ::sendQueries)
    }

    /** Sends a query to all agents. */
    fun sendQueries() {
        state.fleet.all()
            .filter { state.configuration?.services?.get(it.record.service)?.engine != null }
            .map { it.record.host }
            .toSet()
            .forEach { datagrams.sendEncoded(query, InetSocketAddress(it, peerPort)) }
    }

    private fun onFrame(frame: Frame, sender: InetSocketAddress) {
        if (frame !is LoadReport) return
        val now = monotonicMillis()
        val host = sender.address.hostAddress
        // A report applies only to the endpoint incarnation that the agent observed; a new one
        // at the same address has a different start time.
        state.fleet.all().filter {
            it.record.host == host &&
                isSameInstance(it.record.startedAtMillis, frame)
        }
            .forEach { it.onReport(frame, now) }
        state.onEntryCount(frame.entries, now)
        onChanged()
    }

    private fun isSameInstance(startedAtMillis: Long, report: LoadReport): Boolean =
        startedAtMillis == 0L ||
            report.startedAtMillis == 0L ||
            startedAtMillis == report.startedAtMillis

    private companion object {
        const val QUERY_MILLIS = 1000L
    }
}
