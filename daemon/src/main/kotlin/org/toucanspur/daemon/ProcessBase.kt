/*
 * Components common to both roles of the daemon: identity, clients of the platform, configuration
 * document, VM list and peer connections.
 */
package org.toucanspur.daemon

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.membership.heartbeatIntervalMillis
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.VmList
import org.toucanspur.daemon.config.DocumentService
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.platform.HttpObjectStore
import org.toucanspur.daemon.platform.HttpVmList
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.daemon.transport.Handshake
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.daemon.transport.PeerContext
import org.toucanspur.daemon.transport.ProcessIdentity
import org.toucanspur.schema.DaemonConfiguration
import org.toucanspur.schema.DaemonRole
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.Revision
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmRole

/** Components shared within one process; [close] cancels [scope]. */
class ProcessBase(val settings: DaemonConfiguration, isEventLogEnabled: Boolean = true) :
    PeerContext {
    /** Parent scope of all coroutines of the process. */
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Identity sent to peers; the start time serves as the incarnation. */
    val identity = ProcessIdentity(
        settings.daemon.vm,
        Incarnation(wallMillis()),
        if (settings.daemon.role == DaemonRole.ENTRY) VmRole.ENTRY else VmRole.AGENT
    )

    /** Event log of the process. */
    val events = EventLog(settings.daemon.vm, settings.log.eventsKept, isEventLogEnabled)

    /** Metrics registry of the process. */
    val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** HTTP client for the platform's services. */
    val http = platformHttpClient(settings.platform.timeoutMillis.toLong())

    /** Client of the object API. */
    val store: ObjectStore = HttpObjectStore(http, settings.platform.objectApiUrl)

    /** Follows the configuration document of the environment. */
    val documents = DocumentService(settings.daemon.vm, settings.daemon.environment, store, events)

    /** Authenticates peer connections. */
    val handshake = Handshake(identity, settings.keys)

    /** Number of open peer connections; it determines the heartbeat interval. */
    val connections = AtomicInteger(0)

    private val vmList: VmList = HttpVmList(http, settings.platform.vmListUrl)
    private val latestVms = MutableStateFlow<List<VmRecord>>(emptyList())

    /** Most recently read VM list. */
    val vms: StateFlow<List<VmRecord>> get() = latestVms

    override val silenceMillis: Long get() = settings.streams.silenceMillis.toLong()

    override val idleHeartbeatMillis: Long get() = heartbeatIntervalMillis(connections.get())

    override val revision: Revision get() = documents.revision

    override val hybridClockMillis: Long get() = events.clock.tick().wallMillis

    override suspend fun onHeartbeat(
        connection: PeerConnection,
        revision: Revision,
        wallMillis: Long
    ) {
        events.clock.observe(wallMillis)
        documents.onRevision(connection, revision)
    }

    /** Starts following the configuration document and polling the VM list. */
    fun start() {
        events.event(EventCode.STARTED) {
            "${settings.daemon.role}, zone ${settings.daemon.zone}, " +
                "incarnation ${identity.incarnation}"
        }
        documents.start(scope)
        scope.launch { pollVmList() }
    }

    private suspend fun pollVmList() {
        while (true) {
            vmList.read()
                .onSuccess {
                    documents.onVmList(it)
                    latestVms.value = it
                }
                .onFailure {
                    events.event(EventCode.OBJECT_API_UNAVAILABLE) {
                        "reading VM list: ${it.message}"
                    }
                }
            delay(settings.platform.vmListPollMillis.toLong())
        }
    }

    /** Cancels all coroutines of the process and closes its HTTP client. */
    fun close() {
        scope.cancel()
        http.close()
    }
}
