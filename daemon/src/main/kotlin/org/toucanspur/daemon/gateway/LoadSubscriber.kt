/*
 * Asks the agents beside endpoints for load reports. A query is good for a few seconds, so that an
 * agent needs no list of entries, and an entry that is gone is forgotten by itself.
 */
package org.toucanspur.daemon.gateway

import java.net.InetSocketAddress
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NetLoop
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.LoadReport

/** Brings load reports into [state]; [onChanged] runs after each. */
class LoadSubscriber(
    loop: NetLoop,
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
        loop.every(QUERY_MILLIS, ::ask)
    }

    /** Asks all agents. */
    fun ask() {
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
        // A report speaks for the life of the endpoint that the agent saw; an endpoint that took
        // over the address has another start.
        state.fleet.all().filter {
            it.record.host == host &&
                isSameLife(it.record.startedAtMillis, frame)
        }
            .forEach { it.onReport(frame, now) }
        state.onEntries(frame.entries, now)
        onChanged()
    }

    private fun isSameLife(startedAtMillis: Long, report: LoadReport): Boolean =
        startedAtMillis == 0L ||
            report.startedAtMillis == 0L ||
            startedAtMillis == report.startedAtMillis

    private companion object {
        const val QUERY_MILLIS = 1000L
    }
}
