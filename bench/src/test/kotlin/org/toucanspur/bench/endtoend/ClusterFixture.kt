package org.toucanspur.bench.endtoend

import com.github.michaelbull.result.fold
import java.util.UUID
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.toucanspur.bench.AgentVm
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.EntryClient
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.VmLocation
import org.toucanspur.core.config.DocumentPublisher
import org.toucanspur.core.config.Submission
import org.toucanspur.daemon.platform.HttpObjectStore
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.schema.StoredDocument
import org.toucanspur.standin.EngineBehaviour
import org.toucanspur.standin.ReleaseSpec
import org.toucanspur.standin.SyntheticRelease
import org.toucanspur.standin.syntheticRelease

private const val CONDITION_TIMEOUT_MILLIS = 60_000L
private const val POLL_INTERVAL_MILLIS = 20L
private const val CALL_TIMEOUT_MILLIS = 2000L

/** A cluster of two entries, three engines and two services in two zones of two regions. */
internal class ClusterFixture(extra: Map<String, Map<String, String>> = emptyMap()) {
    val cluster = LocalCluster(ClusterOptions("trial", storeRegion = "north", extra = extra))
    val callers = EntryClient("acme")
    val north = VmLocation("a", "north")
    val south = VmLocation("b", "south")
    val firstRelease = release("1")
    val secondRelease = release("2")
    private val http = platformHttpClient(CALL_TIMEOUT_MILLIS)
    val publisher by lazy {
        DocumentPublisher("trial", HttpObjectStore(http, cluster.objectApi.url))
    }
    val engines: List<AgentVm> get() = cluster.agents.filter { it.engine != null }
    val services: List<AgentVm> get() = cluster.agents.filter { it.service != null }
    val entryOne: String get() = cluster.entries[0].url
    val entryTwo: String get() = cluster.entries[1].url

    private fun release(version: String): SyntheticRelease = syntheticRelease(
        ReleaseSpec("writer", version, listOf("notes"), 2L * 1024 * 1024, 64 * 1024)
    )

    fun document(release: SyntheticRelease = firstRelease, stateOfZoneB: String = "in"): String =
        """
        [environment]
        name = trial
        body-max-kib = 64
        [zone a]
        region = north
        [zone b]
        region = south
        state = $stateOfZoneB
        [model writer]
        version = ${release.manifest.version}
        adapters = notes
        digest = ${release.digest}
        [pool writers]
        kind = engine
        model = writer
        zones = a, b
        endpoints = 3
        concurrent-max = 8
        cold-concurrent = 4
        fencing = honoured
        order-check = yes
        [pool desks]
        kind = service
        zones = a, b
        endpoints = 2
        concurrent-max = 8
        cold-concurrent = 4
        [service slots]
        pool = desks
        at-most-once = POST /bookings
        [organisation acme]
        share = 2
        """.trimIndent()

    suspend fun start(behaviour: EngineBehaviour = EngineBehaviour(8)) {
        cluster.startPlatform()
        cluster.weightStore.publish(firstRelease)
        cluster.weightStore.publish(secondRelease)
        cluster.addEntry("entry-1", north)
        cluster.addEntry("entry-2", south)
        cluster.addEngine("writer-1", "writers", north, behaviour)
        cluster.addEngine("writer-2", "writers", south, behaviour)
        cluster.addEngine("writer-3", "writers", south, behaviour)
        cluster.addService("desk-1", "desks", north)
        cluster.addService("desk-2", "desks", south)
        publish(document())
        awaitServing(firstRelease)
    }

    suspend fun publish(text: String): StoredDocument =
        publisher.publish(Submission(UUID.randomUUID().toString(), "test", "", text, 0))
            .fold({ it }, { error(it.message) })

    suspend fun awaitServing(release: SyntheticRelease) = eventually {
        engines.all { it.node.processStatus().endpoint?.loaded == release.digest } &&
            entriesSeeAllEndpoints()
    }

    suspend fun awaitAllEndpoints() = eventually { entriesSeeAllEndpoints() }

    private fun entriesSeeAllEndpoints(): Boolean = cluster.entries.all { entry ->
        entry.node.endpoints().count { it.accepting } == cluster.agents.size
    }

    suspend fun awaitRevision(revision: Long) = eventually {
        val nodeBases = cluster.entries.map { it.base } + cluster.agents.map { it.base }
        nodeBases.all { it.revision.value >= revision }
    }

    suspend fun eventually(condition: suspend () -> Boolean) =
        withTimeout(CONDITION_TIMEOUT_MILLIS) {
            while (!condition()) delay(POLL_INTERVAL_MILLIS)
        }

    fun close() {
        callers.close()
        http.close()
        cluster.close()
    }
}
