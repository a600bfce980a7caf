/*
 * Subscribes to load reports from the agents of endpoints. A query subscribes for a few seconds, so
 * that agents need no list of entries and the subscription of a stopped entry expires. The agents
 * also relay between the entries: evidence about requests that crash endpoints, the limits that
 * endpoints name, and the notices with clocks, usage counts and demand.
 */
package org.toucanspur.daemon.gateway

import java.net.InetSocketAddress
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.CrashEvidence
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LimitNotice
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

    private var sentRevision = 0L
    private var queriedRuns = emptySet<AgentRun>()

    init {
        loop.scheduleRepeating("load queries", QUERY_MILLIS, ::sendQueries)
        loop.scheduleRepeating("notices", QUERY_MILLIS) {
            sendEvidence(REPEAT_AGENTS)
            sendLimits(isRepeat = true)
        }
        loop.scheduleRepeating("entry notices", NOTICE_CHECK_MILLIS) {
            sendToAgents(state.exchange.dueNotices().map(::encodeFrame), REPEAT_AGENTS)
        }
        loop.scheduleRepeating("news", NEWS_MILLIS) {
            if (state.crashSuspects.revision != sentRevision) sendEvidence(NEWS_AGENTS)
            sendLimits(isRepeat = false)
        }
    }

    /** Queries the agents of endpoints that were not listed, or had not started, before. */
    fun queryNewAgents() {
        val runs = agentRuns()
        runs.filter { it !in queriedRuns }.map { it.host }.distinct().forEach(::query)
        queriedRuns = runs
    }

    private fun sendQueries() {
        queriedRuns = agentRuns()
        agentHosts().forEach(::query)
    }

    private fun query(host: String) =
        datagrams.sendEncoded(query, InetSocketAddress(host, peerPort))

    private fun agentHosts(): Set<String> = agentRuns().mapTo(HashSet()) { it.host }

    private fun agentRuns(): Set<AgentRun> = state.fleet.all()
        .filter { state.configuration?.services?.get(it.record.service)?.engine != null }
        .mapTo(HashSet()) { AgentRun(it.record.host, it.record.startedAtMillis) }

    // An agent that was restarted with its endpoint has forgotten who queried it.
    private data class AgentRun(val host: String, val startedAtMillis: Long)

    // Agents know all entries and relay the evidence to them. Evidence is sent repeatedly, because
    // datagrams get lost and an entry that starts knows nothing.
    private fun sendEvidence(agents: Int) {
        sentRevision = state.crashSuspects.revision
        val now = monotonicMillis()
        val suspects = state.crashSuspects
        val vm = state.settings.node.vm
        val frames = suspects.evidence(now).chunked(DATAGRAM_EVIDENCE)
            .map { CrashEvidence(vm, it) }
            .toMutableList()
        if (suspects.needsResponses(now)) {
            frames += CrashEvidence(vm, emptyList(), suspects.responses(now))
        }
        val encoded = frames.map(::encodeFrame)
        sendToAgents(encoded, agents)
    }

    private fun sendLimits(isRepeat: Boolean) {
        val limits = state.limits.limits(monotonicMillis())
        val isNews = state.limits.isNews(limits)
        if (limits.isEmpty() || (!isNews && !isRepeat)) return
        val encoded = limits.chunked(DATAGRAM_LIMITS).map {
            encodeFrame(LimitNotice(state.settings.node.vm, it))
        }
        sendToAgents(encoded, if (isNews) NEWS_AGENTS else REPEAT_AGENTS)
    }

    private fun sendToAgents(encoded: List<ByteArray>, agents: Int) {
        if (encoded.isEmpty()) return
        agentHosts().shuffled(state.random).take(agents).forEach { host ->
            encoded.forEach { datagrams.sendEncoded(it, InetSocketAddress(host, peerPort)) }
        }
    }

    private fun onFrame(frame: Frame, sender: InetSocketAddress) {
        when (frame) {
            is LoadReport -> onReport(frame, sender)
            is CrashEvidence -> onEvidence(frame)
            is LimitNotice -> state.limits.merge(frame.limits, monotonicMillis())
            is EntryNotice -> state.exchange.onNotice(frame)
            else -> Unit
        }
    }

    private fun onEvidence(frame: CrashEvidence) {
        val now = monotonicMillis()
        state.crashSuspects.merge(frame.evidence, now)
        if (frame.responses.isNotEmpty()) {
            state.crashSuspects.mergeResponses(frame.vm, frame.responses, now)
        }
    }

    private fun onReport(frame: LoadReport, sender: InetSocketAddress) {
        val now = monotonicMillis()
        val host = sender.address.hostAddress
        // A report applies only to the endpoint incarnation that the agent observed; a new one
        // at the same address has a different start time.
        state.fleet.on(host).filter { isSameInstance(it.record.startedAtMillis, frame) }
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
        const val NEWS_MILLIS = 200L
        const val NOTICE_CHECK_MILLIS = 100L
        const val NEWS_AGENTS = 3
        const val REPEAT_AGENTS = 2

        // Keep a datagram within one packet.
        const val DATAGRAM_EVIDENCE = 2
        const val DATAGRAM_LIMITS = 8
    }
}
