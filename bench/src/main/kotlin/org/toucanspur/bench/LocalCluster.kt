/*
 * A small deployment on loopback: stand-ins of the platform and of the endpoints, and the daemon's
 * own code on real sockets.
 */
package org.toucanspur.bench

import com.github.michaelbull.result.fold
import org.toucanspur.core.config.checkSettings
import org.toucanspur.daemon.ProcessBase
import org.toucanspur.daemon.agent.AgentNode
import org.toucanspur.daemon.entry.EntryNode
import org.toucanspur.schema.DaemonConfiguration
import org.toucanspur.schema.PoolId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmRole
import org.toucanspur.schema.VmState
import org.toucanspur.schema.ZoneId
import org.toucanspur.standin.EngineBehaviour
import org.toucanspur.standin.EngineService
import org.toucanspur.standin.ObjectApi
import org.toucanspur.standin.PlainService
import org.toucanspur.standin.VmListService
import org.toucanspur.standin.WeightStoreService

private const val DEFAULT_ORIGIN_BYTES_PER_SECOND = 64L * 1024 * 1024

/** Where a VM runs. */
data class Place(val zone: String, val region: String)

/** One agent of the deployment with its endpoint. */
class AgentVm(
    val id: String,
    val pool: String,
    val place: Place,
    val engine: EngineService?,
    val service: PlainService?
) {
    lateinit var base: ProcessBase
    lateinit var node: AgentNode

    val endpointUrl: String get() = engine?.url ?: checkNotNull(service).url
}

/** One entry of the deployment. */
class EntryVm(val id: String, val place: Place) {
    lateinit var base: ProcessBase
    lateinit var node: EntryNode

    val url: String get() = "http://127.0.0.1:${node.httpPort}"
}

/** Settings that a deployment's processes share. */
data class ClusterOptions(
    val environment: String,
    val originBytesPerSecond: Long = DEFAULT_ORIGIN_BYTES_PER_SECOND,
    val linkMbit: Int = 2000,
    val storeRegion: String = "any",
    val extra: Map<String, Map<String, String>> = emptyMap(),
    val isEventLogEnabled: Boolean = true
)

/** The deployment; call [startPlatform], add VMs, then [close]. */
class LocalCluster(private val options: ClusterOptions) {
    val objectApi = ObjectApi()
    val vmList = VmListService()
    val weightStore = WeightStoreService(options.originBytesPerSecond)
    val entries = mutableListOf<EntryVm>()
    val agents = mutableListOf<AgentVm>()

    /** Starts the stand-ins of the platform. */
    suspend fun startPlatform() {
        objectApi.start()
        vmList.start()
        weightStore.start()
    }

    /** Starts an entry. */
    suspend fun addEntry(id: String, place: Place): EntryVm {
        val vm = EntryVm(id, place)
        vm.base = ProcessBase(settings(id, "entry", place, emptyMap()), options.isEventLogEnabled)
        vm.node = EntryNode(vm.base)
        vm.node.start()
        entries += vm
        list(id, place, VmRole.ENTRY, null, vm.node.peerPort, vm.node.httpPort)
        return vm
    }

    /** Starts an agent with a model engine. */
    suspend fun addEngine(
        id: String,
        pool: String,
        place: Place,
        behaviour: EngineBehaviour
    ): AgentVm {
        val engine = EngineService(behaviour)
        engine.start()
        return addAgent(AgentVm(id, pool, place, engine, null))
    }

    /** Starts an agent with a plain service. */
    suspend fun addService(id: String, pool: String, place: Place, workMillis: Long = 5): AgentVm {
        val service = PlainService(workMillis)
        service.start()
        return addAgent(AgentVm(id, pool, place, null, service))
    }

    private suspend fun addAgent(vm: AgentVm): AgentVm {
        startAgent(vm)
        agents += vm
        return vm
    }

    /** Starts the agent process of [vm], for the first time or again after it was killed. */
    suspend fun startAgent(vm: AgentVm) {
        val endpoint = mapOf("endpoint" to mapOf("url" to vm.endpointUrl, "pool" to vm.pool))
        vm.base =
            ProcessBase(settings(vm.id, "agent", vm.place, endpoint), options.isEventLogEnabled)
        vm.node = AgentNode(vm.base)
        vm.node.start()
        list(vm.id, vm.place, VmRole.AGENT, vm.pool, vm.node.peerPort, vm.node.httpPort)
    }

    private fun list(
        id: String,
        place: Place,
        role: VmRole,
        pool: String?,
        peerPort: Int,
        httpPort: Int
    ) {
        vmList.put(
            VmRecord(
                VmId(id),
                role,
                ZoneId(place.zone),
                RegionId(place.region),
                pool?.let(::PoolId),
                "127.0.0.1",
                peerPort,
                httpPort,
                VmState.LIVE
            )
        )
    }

    private fun settings(
        id: String,
        role: String,
        place: Place,
        sections: Map<String, Map<String, String>>
    ): DaemonConfiguration {
        val base = mapOf(
            "daemon" to mapOf(
                "role" to role,
                "vm" to id,
                "zone" to place.zone,
                "region" to place.region,
                "environment" to options.environment
            ),
            "listen" to mapOf("http-port" to "0", "peer-port" to "0"),
            "platform" to mapOf(
                "object-api-url" to objectApi.url,
                "vm-list-url" to vmList.url,
                "vm-list-poll-millis" to "300",
                "weight-store-url" to weightStore.url,
                "weight-store-region" to options.storeRegion
            ),
            "keys" to mapOf("current" to "loopback-key-loopback-key-loopback-key"),
            "weights" to mapOf("link-mbit" to options.linkMbit.toString(), "memory-mib" to "512"),
            "lease" to mapOf("duration-millis" to "3000")
        )
        val names = base.keys + sections.keys + options.extra.keys
        val text = names.joinToString("\n") { name ->
            val keys =
                base[name].orEmpty() + sections[name].orEmpty() + options.extra[name].orEmpty()
            "[$name]\n" + keys.entries.joinToString("\n") { "${it.key} = ${it.value}" }
        }
        return checkSettings("$id.ini", text).fold(
            success = { it },
            failure = { findings -> error(findings.joinToString("\n") { it.render() }) }
        )
    }

    /** Ends everything. */
    fun close() {
        entries.forEach { it.node.close() }
        agents.forEach {
            it.node.close()
            it.engine?.stop()
            it.service?.stop()
        }
        objectApi.stop()
        vmList.stop()
        weightStore.stop()
    }
}
