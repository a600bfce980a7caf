/*
 * Entries and agents as `deploy/system.toml` runs them, between stand-ins on loopback addresses.
 */
package org.toucanspur.bench.measure

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.serialization.json.put
import org.toucanspur.standin.platform.ConfigurationDocument
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.ModelEngineService
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.OriginService
import org.toucanspur.standin.platform.RouteDocument
import org.toucanspur.standin.platform.endpointDocument

/**
 * Entries and agents with an object store, an origin and an engine for each agent. Processes run
 * with the command that [commandOf] returns for their role, host and deployed command.
 */
internal class DeployedCluster(
    entryCount: Int,
    agentCount: Int,
    private val commandOf: (
        String,
        String,
        List<String>
    ) -> List<String> = { _, _, command -> command }
) : AutoCloseable {
    private val directory = Files.createTempDirectory("toucanspur-cost")
    private val store = ObjectStoreService()
    private val origin = OriginService(MODEL)
    private val engines = List(agentCount) {
        ModelEngineService("e$it", MODEL, 1, { _, _ -> }, { _, _ -> })
    }
    private val commands = deployedCommands()
    private val subnet = "127.${FIRST_SUBNET + ProcessHandle.current().pid() % SUBNETS}"

    /** The entries; empty before [start]. */
    var entries = emptyList<DeployedProcess>()
        private set

    /** The agents; empty before [start]. */
    var agents = emptyList<DeployedProcess>()
        private set

    /** Addresses of the entries. */
    val entryHosts = List(entryCount) { "$subnet.1.${it + 1}" }
    private val agentHosts = List(agentCount) { "$subnet.2.${it + 1}" }

    /** Stores the objects and starts all processes. */
    fun start() {
        val route = RouteDocument("h", "/stream/", "streaming", ENGINE_SERVICE, 2)
        val configuration =
            ConfigurationDocument(1, listOf(route), MODEL, origin.address, "acme", listOf("k"))
        store.put("config", "main", configuration.json())
        agentHosts.indices.forEach(::writeEndpoint)
        setTargetVersion(1)
        entries = entryHosts.map { startProcess("entry", it, "") }
        agents = agentHosts.zip(engines).map { (host, engine) ->
            val section = "[engine]\naddress = ${engine.address}\nservice = $ENGINE_SERVICE\n"
            startProcess("agent", host, section)
        }
    }

    private fun startProcess(role: String, host: String, sections: String) = DeployedProcess(
        commandOf(role, host, commands.getValue(role)),
        "[node]\nrole = $role\nvm = $role-$host\nhost = $host\nzone = z\nregion = r\n" +
            "zone-regions = z:r\n[addresses]\ncallers = $host:17701\n" +
            "readiness = $host:17702\npeer-port = 17703\n" +
            "[store]\naddress = ${store.address}\n$sections" +
            "[bounds]\ndrain-millis = 2000\ngrace-seconds = 8\nrevocation-millis = 5000\n" +
            "evacuation-millis = 5000\nversion-millis = 8000\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 100\n",
        directory,
        "$role-$host"
    )

    /** Writes the record of an endpoint again. */
    fun writeEndpoint(index: Int) = store.put(
        "servers",
        "e$index",
        endpointDocument(ENGINE_SERVICE, "${agentHosts[index]}:8000", "ready", engines[index])
    )

    /** Numbers of calls to the store so far, by kind of object and of call. */
    fun storeCalls(): Map<String, Int> = store.callCounts()

    /** Names [version] as the weight version to load. */
    fun setTargetVersion(version: Long) =
        store.put("versions", MODEL, """{"model":"$MODEL","version":$version}""")

    /** Number of engines that have loaded [version]. */
    fun loadedCount(version: Long): Int = engines.count { it.loadedVersion == version }

    /** Ends all processes as a planned stop does. */
    fun stop() {
        (entries + agents).forEach { it.terminate() }
        (entries + agents).forEach { it.awaitExit() }
    }

    override fun close() {
        (entries + agents).forEach { it.close() }
        (engines + listOf(store, origin)).forEach { it.close() }
        directory.toFile().deleteRecursively()
    }

    private companion object {
        const val FIRST_SUBNET = 20
        const val SUBNETS = 200

        val RUN = Regex("""\[roles\.(\w+)]\s+run = "([^"]+)"""")

        fun deployedCommands(): Map<String, List<String>> =
            RUN.findAll(Path.of("deploy/system.toml").readText())
                .associate { it.groupValues[1] to it.groupValues[2].split(' ') }
    }
}
