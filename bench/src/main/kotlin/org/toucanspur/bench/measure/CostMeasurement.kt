/*
 * Measures the processor time and memory of the deployed processes without load: entries and agents
 * run as `deploy/system.toml` says, between stand-ins, through a start, an idle time and the
 * transfer of a weight version. Endpoint records are written again `--changes-per-second` times a
 * second, and the calls to the store are counted. Requires `bin/build-deploy`.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

private const val MILLIS_PER_SECOND = 1000L
private const val ENTRIES = 4
private const val AGENTS = 12
private const val START_SECONDS = 6
private const val IDLE_SECONDS = 20
private const val TRANSFER_SECONDS = 15

/**
 * `cost`: processor time by role, phase and kind of thread, resident memory, and calls to the store
 * by phase, kind of object and of call.
 */
internal class CostMeasurement : Measurement {
    override val name = "cost"

    override suspend fun run(options: Options): JsonObject {
        val cluster = DeployedCluster(
            options.int("entries", ENTRIES),
            options.int("agents", AGENTS)
        )
        return cluster.use {
            cluster.start()
            coroutineScope {
                val changes =
                    launch { changeRecords(cluster, options.int("changes-per-second", 0)) }
                measure(cluster, options).also { changes.cancel() }
            }
        }
    }

    private suspend fun changeRecords(cluster: DeployedCluster, perSecond: Int) {
        if (perSecond == 0) return
        var index = 0
        while (true) {
            delay(MILLIS_PER_SECOND / perSecond)
            cluster.writeEndpoint(index++ % cluster.agents.size)
        }
    }

    private suspend fun measure(cluster: DeployedCluster, options: Options): JsonObject =
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

    private suspend fun JsonObjectBuilder.putPhase(
        phase: String,
        cluster: DeployedCluster,
        seconds: Int
    ) {
        val roles = mapOf("entry" to cluster.entries, "agent" to cluster.agents)
        val before = roles.mapValues { (_, processes) -> processes.map { it.threadMillis() } }
        val callsBefore = cluster.storeCalls()
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
            putJsonObject("storeCalls") {
                cluster.storeCalls().forEach { (call, count) ->
                    put(call, count - (callsBefore[call] ?: 0))
                }
            }
        }
    }
}
