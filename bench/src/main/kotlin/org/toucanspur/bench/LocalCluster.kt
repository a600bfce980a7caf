/*
 * A small deployment on the loopback interface: the daemon's own nodes on real sockets, with
 * stand-ins for the platform and the endpoints.
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

/** Availability zone and region of a VM. */
data class VmLocation(val zone: String, val region: String)

/** An agent node with its endpoint, either a model engine or a plain service. */
class AgentVm(
    val id: String,
    val pool: String,
    val location: VmLocation,
    val engine: EngineService?,
    val service: PlainService?
) {
    lateinit var base: ProcessBase
    lateinit var node: AgentNode

    val endpointUrl: String get() = engine?.url ?: checkNotNull(service).url
}

/** An entry node. */
class EntryVm(val id: String, val location: VmLocation) {
    lateinit var base: ProcessBase
    lateinit var node: EntryNode

    val url: String get() = "http://127.0.0.1:${node.httpPort}"
}

/** Settings common to all nodes of a [LocalCluster]. */
data class ClusterOptions(
    val environment: String,
    val originBytesPerSecond: Long = DEFAULT_ORIGIN_BYTES_PER_SECOND,
    val linkMbit: Int = 2000,
    val storeRegion: String = "any",
    val extra: Map<String, Map<String, String>> = emptyMap(),
    val isEventLogEnabled: Boolean = true
)

/** A deployment in this process; call [startPlatform], add VMs, then [close]. */
class LocalCluster(private val options: ClusterOptions) {
    val objectApi = ObjectApi()
    val vmList = VmListService()
    val weightStore = WeightStoreService(options.originBytesPerSecond)
    val entries = mutableListOf<EntryVm>()
    val agents = mutableListOf<AgentVm>()

    /** Starts the stand-ins for the object API, the VM list and the weight store. */
    suspend fun startPlatform() {
        objectApi.start()
        vmList.start()
        weightStore.start()
    }

    /** Starts an entry and adds it to the VM list. */
    suspend fun addEntry(id: String, location: VmLocation): EntryVm {
        val vm = EntryVm(id, location)
        vm.base =
            ProcessBase(settings(id, "entry", location, emptyMap()), options.isEventLogEnabled)
        vm.node = EntryNode(vm.base)
        vm.node.start()
        entries += vm
        register(id, location, VmRole.ENTRY, null, vm.node.peerPort, vm.node.httpPort)
        return vm
    }

    /** Starts a model engine and its agent, and adds the agent to the VM list. */
    suspend fun addEngine(
        id: String,
        pool: String,
        location: VmLocation,
        behaviour: EngineBehaviour
    ): AgentVm {
        val engine = EngineService(behaviour)
        engine.start()
        return addAgent(AgentVm(id, pool, location, engine, null))
    }

    /** Starts a plain service and its agent, and adds the agent to the VM list. */
    suspend fun addService(
        id: String,
        pool: String,
        location: VmLocation,
        workMillis: Long = 5
    ): AgentVm {
        val service = PlainService(workMillis)
        service.start()
        return addAgent(AgentVm(id, pool, location, null, service))
    }

    private suspend fun addAgent(vm: AgentVm): AgentVm {
        startAgent(vm)
        agents += vm
        return vm
    }

    /** Starts the agent node of [vm], initially or after it was closed. */
    suspend fun startAgent(vm: AgentVm) {
        val endpoint = mapOf("endpoint" to mapOf("url" to vm.endpointUrl, "pool" to vm.pool))
        vm.base =
            ProcessBase(settings(vm.id, "agent", vm.location, endpoint), options.isEventLogEnabled)
        vm.node = AgentNode(vm.base)
        vm.node.start()
        register(vm.id, vm.location, VmRole.AGENT, vm.pool, vm.node.peerPort, vm.node.httpPort)
    }

    private fun register(
        id: String,
        location: VmLocation,
        role: VmRole,
        pool: String?,
        peerPort: Int,
        httpPort: Int
    ) {
        vmList.put(
            VmRecord(
                VmId(id),
                role,
                ZoneId(location.zone),
                RegionId(location.region),
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
        location: VmLocation,
        sections: Map<String, Map<String, String>>
    ): DaemonConfiguration {
        val base = mapOf(
            "daemon" to mapOf(
                "role" to role,
                "vm" to id,
                "zone" to location.zone,
                "region" to location.region,
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
        val sectionNames = base.keys + sections.keys + options.extra.keys
        val text = sectionNames.joinToString("\n") { name ->
            val keys =
                base[name].orEmpty() + sections[name].orEmpty() + options.extra[name].orEmpty()
            "[$name]\n" + keys.entries.joinToString("\n") { "${it.key} = ${it.value}" }
        }
        return checkSettings("$id.ini", text).fold(
            success = { it },
            failure = { findings -> error(findings.joinToString("\n") { it.render() }) }
        )
    }

    /** Stops all nodes, endpoints and platform stand-ins. */
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
