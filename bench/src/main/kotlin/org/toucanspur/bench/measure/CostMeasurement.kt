/*
 * Measures the processor time and memory of the deployed processes without load: entries and agents
 * run as `deploy/system.toml` says, between stand-ins, through a start, an idle time and the
 * transfer of a weight version. Requires `bin/build-deploy`.
 */
package org.toucanspur.bench.measure

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.toucanspur.platform.PLATFORM_SETTINGS_VARIABLE
import org.toucanspur.standin.platform.ConfigurationDocument
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.ModelEngineService
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.OriginService
import org.toucanspur.standin.platform.RouteDocument
import org.toucanspur.standin.platform.endpointDocument

private const val COST_MODEL = "m"
private const val MILLIS_PER_SECOND = 1000L
private const val ENTRIES = 4
private const val AGENTS = 12
private const val START_SECONDS = 6
private const val IDLE_SECONDS = 20
private const val TRANSFER_SECONDS = 15

/** `cost`: processor time by role, phase and kind of thread, and resident memory. */
internal class CostMeasurement : Measurement {
    override val name = "cost"

    override suspend fun run(options: Options): JsonObject {
        val cluster = DeployedCluster(
            options.int("entries", ENTRIES),
            options.int("agents", AGENTS)
        )
        return cluster.use {
            cluster.start()
            buildJsonObject {
                put("entries", cluster.entries.size)
                put("agents", cluster.agents.size)
                putPhase("start", cluster, options.int("start-seconds", START_SECONDS))
                putPhase("idle", cluster, options.int("idle-seconds", IDLE_SECONDS))
                cluster.setTargetVersion(2)
                putPhase("transfer", cluster, options.int("transfer-seconds", TRANSFER_SECONDS))
                put("loadedEngines", cluster.loadedCount(2))
                put("entryKib", cluster.entries.map { it.residentKib() }.average().toLong())
                put("agentKib", cluster.agents.map { it.residentKib() }.average().toLong())
            }
        }
    }

    private suspend fun JsonObjectBuilder.putPhase(
        phase: String,
        cluster: DeployedCluster,
        seconds: Int
    ) {
        val roles = mapOf("entry" to cluster.entries, "agent" to cluster.agents)
        val before = roles.mapValues { (_, processes) -> processes.map { it.threadMillis() } }
        delay(seconds * MILLIS_PER_SECOND)
        putJsonObject(phase) {
            put("seconds", seconds)
            roles.forEach { (role, processes) ->
                putJsonObject("${role}MillisPerProcess") {
                    val after = processes.map { it.threadMillis() }
                    ThreadKind.entries.forEach { kind ->
                        val spent = after.sumOf { it.getValue(kind) } -
                            before.getValue(role).sumOf { it.getValue(kind) }
                        put(kind.name.lowercase(), spent / processes.size)
                    }
                }
            }
        }
    }
}

/** Kinds of threads of a process, by the names that the JVM and Netty give them. */
internal enum class ThreadKind(private val prefix: String) {
    EVENT_LOOP("multiThreadIoEv"),
    COMPILER("C1"),
    COLLECTOR("VM Thread"),
    MAIN("java"),
    OTHER("");

    companion object {
        /** The kind of the thread with this name. */
        fun of(threadName: String): ThreadKind = entries.first { threadName.startsWith(it.prefix) }
    }
}

/** A process started with [command] and [settings]. */
internal class DeployedProcess(
    command: List<String>,
    settings: String,
    directory: Path,
    name: String
) : AutoCloseable {
    private val process: Process

    init {
        val file = Files.writeString(directory.resolve("$name.ini"), settings)
        val builder = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("$name.log").toFile())
        builder.environment()[PLATFORM_SETTINGS_VARIABLE] = file.toString()
        process = builder.start()
    }

    /** Processor time of the process so far. Compiler threads come and go and have the rest. */
    fun threadMillis(): Map<ThreadKind, Long> {
        val millis = ThreadKind.entries.associateWith { 0L }.toMutableMap()
        val proc = Path.of("/proc/${process.pid()}")
        proc.resolve("task").toFile().listFiles().orEmpty().forEach { task ->
            // A thread may end while the directory is read.
            val stat = runCatching { task.resolve("stat").readText() }.getOrNull() ?: return@forEach
            val kind = ThreadKind.of(stat.substringAfter('(').substringBeforeLast(')'))
            if (kind != ThreadKind.COMPILER) millis.merge(kind, cpuMillis(stat), Long::plus)
        }
        val total = cpuMillis(proc.resolve("stat").readText())
        millis[ThreadKind.COMPILER] = total - millis.values.sum()
        return millis
    }

    // The name is in parentheses; user and system time are the 14th and 15th fields.
    private fun cpuMillis(stat: String): Long {
        val fields = stat.substringAfterLast(") ").split(' ')
        val ticks = fields[USER_TIME_FIELD].toLong() + fields[USER_TIME_FIELD + 1].toLong()
        return ticks * MILLIS_PER_TICK
    }

    /** Resident memory. */
    fun residentKib(): Long = Path.of("/proc/${process.pid()}/status").readText().lineSequence()
        .firstOrNull { it.startsWith("VmRSS:") }
        ?.filter(Char::isDigit)?.toLong() ?: 0

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val USER_TIME_FIELD = 11
        const val MILLIS_PER_TICK = 10L
    }
}

/** Entries and agents with an object store, an origin and an engine for each agent. */
internal class DeployedCluster(entryCount: Int, agentCount: Int) : AutoCloseable {
    private val directory = Files.createTempDirectory("toucanspur-cost")
    private val store = ObjectStoreService()
    private val origin = OriginService(COST_MODEL)
    private val engines = List(agentCount) {
        ModelEngineService("e$it", COST_MODEL, 1, { _, _ -> }, { _, _ -> })
    }
    private val commands = deployedCommands()
    private val subnet = "127.${FIRST_SUBNET + ProcessHandle.current().pid() % SUBNETS}"

    /** The entries; empty before [start]. */
    var entries = emptyList<DeployedProcess>()
        private set

    /** The agents; empty before [start]. */
    var agents = emptyList<DeployedProcess>()
        private set

    private val entryHosts = List(entryCount) { "$subnet.1.${it + 1}" }
    private val agentHosts = List(agentCount) { "$subnet.2.${it + 1}" }

    /** Stores the objects and starts all processes. */
    fun start() {
        val route = RouteDocument("h", "/stream/", "streaming", ENGINE_SERVICE, 2)
        val configuration =
            ConfigurationDocument(1, listOf(route), COST_MODEL, origin.address, "acme", listOf("k"))
        store.put("config", "main", configuration.json())
        agentHosts.zip(engines).forEachIndexed { index, (host, engine) ->
            val content = endpointDocument(ENGINE_SERVICE, "$host:8000", "ready", engine)
            store.put("servers", "e$index", content)
        }
        setTargetVersion(1)
        entries = entryHosts.map { startProcess("entry", it, "") }
        agents = agentHosts.zip(engines).map { (host, engine) ->
            val section = "[engine]\naddress = ${engine.address}\nservice = $ENGINE_SERVICE\n"
            startProcess("agent", host, section)
        }
    }

    private fun startProcess(role: String, host: String, sections: String) = DeployedProcess(
        commands.getValue(role),
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

    /** Names [version] as the weight version to load. */
    fun setTargetVersion(version: Long) =
        store.put("versions", COST_MODEL, """{"model":"$COST_MODEL","version":$version}""")

    /** Number of engines that have loaded [version]. */
    fun loadedCount(version: Long): Int = engines.count { it.loadedVersion == version }

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
