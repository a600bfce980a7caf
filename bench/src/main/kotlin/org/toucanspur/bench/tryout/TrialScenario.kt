/*
 * The trial run of `bin/try`: distributes releases to the engines, sends chats and an at-most-once
 * booking, takes a zone out and puts it back, and checks the results.
 */
package org.toucanspur.bench.tryout

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.toucanspur.bench.AgentVm
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.EntryClient
import org.toucanspur.bench.EntryResponse
import org.toucanspur.bench.EntryVm
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.VmLocation
import org.toucanspur.bench.isCompleteStream
import org.toucanspur.core.config.CheckedDocument
import org.toucanspur.core.config.DocumentPublisher
import org.toucanspur.core.config.Submission
import org.toucanspur.core.config.checkDocument
import org.toucanspur.core.events.mergeTimelines
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.platform.HttpObjectStore
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.Event
import org.toucanspur.schema.PoolKind
import org.toucanspur.schema.PoolSection
import org.toucanspur.standin.EngineBehaviour
import org.toucanspur.standin.ReleaseSpec
import org.toucanspur.standin.syntheticRelease

private const val RELEASE_BYTES = 24L * 1024 * 1024
private const val CHUNK_BYTES = 256 * 1024
private const val READY_TIMEOUT_MILLIS = 25_000L
private const val POLL_MILLIS = 100L
private const val CALL_TIMEOUT_MILLIS = 2000L
private const val LOAD_PAUSE_MILLIS = 20L
private const val ZONE_OUT_MILLIS = 3000L
private const val ZONE_BACK_MILLIS = 3000L
private const val ZONE_OUT_LIMIT_MILLIS = 2000L
private const val LOAD_TOKENS = 6
private const val CHAT_TOKENS = 24
private val arabicWord = Regex("\\p{IsArabic}+ ")
private val englishWord = Regex("[a-z]+ ")

/** A check of the trial run with its measured value, shown as one line of the summary. */
data class TrialCheck(val name: String, val value: String, val passed: Boolean)

/** Trial run of the configuration [documentText], read from [documentFile]. */
class TrialScenario(private val documentFile: String, private val documentText: String) {
    private val checked: CheckedDocument = checkDocument(documentFile, documentText)
        .getOrElse { findings -> error(findings.joinToString("\n") { it.render() }) }
    private val configuration = checked.configuration
    private val environment = configuration.environment.name
    private val enginePools = configuration.pools.filter { it.kind == PoolKind.ENGINE }
    private val mainPool = enginePools.maxBy { it.endpoints }
    private val servicePool = configuration.pools.filter {
        it.kind == PoolKind.SERVICE
    }.maxBy { it.endpoints }
    private val service = configuration.services.first { it.pool == servicePool.id }
    private val organisation = configuration.organisations.first().id.value
    private val locations = configuration.zones.map { VmLocation(it.id.value, it.region.value) }
    private val checks = mutableListOf<TrialCheck>()

    /** The cluster that the trial run uses. */
    val cluster = LocalCluster(ClusterOptions(environment, storeRegion = locations.first().region))
    private val http = platformHttpClient(CALL_TIMEOUT_MILLIS)
    private val publisher by lazy {
        DocumentPublisher(environment, HttpObjectStore(http, cluster.objectApi.url))
    }

    /** Runs all steps and returns the results of the checks. */
    suspend fun run(scope: CoroutineScope): List<TrialCheck> {
        startCluster()
        publish(documentText, "first deployment")
        distributeWeights()
        EntryClient(organisation).use { client ->
            checkChat(client)
            checkAtMostOnce(client)
            takeZoneOutAndBack(scope, client)
        }
        checkEngines()
        return checks
    }

    private suspend fun startCluster() {
        cluster.startPlatform()
        configuration.models.forEach { model ->
            val release = syntheticRelease(
                ReleaseSpec(
                    model.id.value,
                    model.version,
                    model.adapters,
                    RELEASE_BYTES,
                    CHUNK_BYTES
                )
            )
            check(release.digest == model.digest) {
                "$documentFile: the digest of model ${model.id} must be ${release.digest}"
            }
            cluster.weightStore.publish(release)
        }
        locations.take(2).forEachIndexed { index, location ->
            cluster.addEntry("entry-${index + 1}", location)
        }
        locations.forEachIndexed { index, location -> addEngine(mainPool, index + 1, location) }
        val otherPool = enginePools.first { it.id != mainPool.id }
        addEngine(otherPool, 1, locations[1])
        cluster.addService("${servicePool.id}-1", servicePool.id.value, locations[0])
        printStep(
            "started ${cluster.entries.size} entries and ${cluster.agents.size} agents " +
                "in ${locations.size} availability zones"
        )
    }

    private suspend fun addEngine(pool: PoolSection, number: Int, location: VmLocation) {
        val behaviour = EngineBehaviour(pool.concurrentMax)
        cluster.addEngine("${pool.id}-$number", pool.id.value, location, behaviour)
    }

    private suspend fun publish(text: String, note: String): Long {
        val submission = Submission(UUID.randomUUID().toString(), "try", note, text, wallMillis())
        val accepted = publisher.publish(submission).fold({ it }, { error(it.message) })
        printStep("accepted revision ${accepted.revision}: $note")
        return accepted.revision.value
    }

    private suspend fun distributeWeights() {
        val startMillis = monotonicMillis()
        val engines = cluster.agents.filter { it.engine != null }
        var lastPercent = -1
        val isReady = awaitUntil(READY_TIMEOUT_MILLIS) {
            val chunksHeld = engines.sumOf { it.node.processStatus().chunksHeld }
            val chunksTotal = engines.sumOf { it.node.processStatus().chunksTotal }
            val percent = if (chunksTotal == 0) 0 else chunksHeld * PERCENT / chunksTotal
            if (percent / REPORT_STEP_PERCENT !=
                lastPercent / REPORT_STEP_PERCENT
            ) {
                printStep("weights: $percent% ($chunksHeld of $chunksTotal chunks)")
            }
            lastPercent = percent
            cluster.agents.all { it.node.processStatus().ready } &&
                cluster.entries.all(::areAllEndpointsAccepting)
        }
        val elapsedMillis = monotonicMillis() - startMillis
        check(
            "weights loaded on all endpoints, confirmed by each engine",
            "$elapsedMillis ms",
            isReady
        )
        val releasedBytes = RELEASE_BYTES * configuration.models.size
        val copies = cluster.weightStore.servedBytes.get().toDouble() / releasedBytes
        check(
            "copies fetched from the origin (limit 4)",
            "%.2f".format(copies),
            copies <= ORIGIN_COPIES_MAX
        )
    }

    private fun areAllEndpointsAccepting(entry: EntryVm): Boolean =
        entry.node.endpoints().count { it.accepting } == cluster.agents.size

    private suspend fun checkChat(client: EntryClient) {
        val arabic = client.chat(
            cluster.entries[0].url,
            mainPool.model.value,
            "اكتب تعريفا بالقطة",
            CHAT_TOKENS
        )
        printStep("Arabic: ${completionText(arabic)}")
        val english = client.chat(
            cluster.entries[1].url,
            mainPool.model.value,
            "write a cat profile",
            CHAT_TOKENS
        )
        printStep("English: ${completionText(english)}")
        check(
            "Arabic response complete",
            "first byte ${arabic.firstByteMillis} ms",
            isCompleteStream(arabic) && arabicWord.containsMatchIn(completionText(arabic))
        )
        check(
            "English response complete",
            "first byte ${english.firstByteMillis} ms",
            isCompleteStream(english) && englishWord.containsMatchIn(completionText(english))
        )
    }

    private fun completionText(response: EntryResponse): String =
        Regex("\"content\":\"([^\"]*)\"").findAll(response.body).map {
            it.groupValues[1]
        }.joinToString("").take(SHOWN_CHARS_MAX)

    private suspend fun checkAtMostOnce(client: EntryClient) {
        val route = service.atMostOnce.first()
        val path = route.path.removeSuffix("*").trimEnd('/')
        val body = """{"slot":"18:30","seats":2}"""
        val first = client.service(
            cluster.entries[0].url,
            route.method,
            "${service.id}$path",
            body,
            "booking-1"
        )
        val second = client.service(
            cluster.entries[1].url,
            route.method,
            "${service.id}$path",
            body,
            "booking-1"
        )
        val runs = cluster.agents.mapNotNull {
            it.service
        }.sumOf { it.runsOf(route.method, path, body) }
        printStep(
            "booking: ${first.status} ${first.body}, " +
                "repeated through the other entry: ${second.status} ${second.body}"
        )
        check(
            "request with an idempotency key, sent twice, executed once",
            "$runs run",
            runs == 1 && first.isOk && first.body == second.body
        )
    }

    private suspend fun takeZoneOutAndBack(scope: CoroutineScope, client: EntryClient) {
        val zone = locations[1].zone
        val responses = ConcurrentLinkedQueue<EntryResponse>()
        val load = startLoad(scope, client, responses)
        delay(ZONE_BACK_MILLIS / 2)
        val inZone = cluster.agents.filter { it.location.zone == zone }
        val before = countCompletions(inZone)
        val outMillis = monotonicMillis()
        val revision = publish(documentWithZoneState(zone, "out"), "zone $zone out")
        val appliedMillis = awaitRevision(revision)
        val lastCompletion = lastCompletionMillis(inZone, outMillis)
        check(
            "document applied by all processes",
            "$appliedMillis ms",
            appliedMillis in 0..ZONE_OUT_LIMIT_MILLIS
        )
        check(
            "last completion in the zone after it was taken out",
            "$lastCompletion ms",
            lastCompletion <= ZONE_OUT_LIMIT_MILLIS
        )
        publish(documentWithZoneState(zone, "in"), "zone $zone back")
        val during = countCompletions(inZone)
        delay(ZONE_BACK_MILLIS)
        val after = countCompletions(inZone)
        load.forEach { it.cancel() }
        load.forEach { it.join() }
        check(
            "zone served requests before and after",
            "$before before, ${after - during} after",
            before > 0 && after > during
        )
        val failed = responses.count { !isCompleteStream(it) }
        check(
            "requests failed while the zone was out and back",
            "$failed of ${responses.size}",
            failed == 0 && responses.isNotEmpty()
        )
    }

    private fun startLoad(
        scope: CoroutineScope,
        client: EntryClient,
        responses: ConcurrentLinkedQueue<EntryResponse>
    ): List<Job> = cluster.entries.map { entry ->
        scope.launch {
            var callCount = 0
            while (true) {
                responses +=
                    client.chat(
                        entry.url,
                        mainPool.model.value,
                        "question ${callCount++} to ${entry.id}",
                        LOAD_TOKENS
                    )
                delay(LOAD_PAUSE_MILLIS)
            }
        }
    }

    private fun countCompletions(agents: List<AgentVm>): Int = agents.sumOf {
        it.engine?.completed?.get()
            ?: 0
    }

    private fun documentWithZoneState(zone: String, state: String): String {
        val header = "[zone $zone]"
        val withoutState = documentText.replace(Regex("(?m)^state\\s*=.*\\n"), "")
        return withoutState.replace(header, "$header\nstate = $state")
    }

    private suspend fun awaitRevision(revision: Long): Long {
        val startMillis = monotonicMillis()
        val isApplied = awaitUntil(READY_TIMEOUT_MILLIS) {
            val bases = cluster.entries.map { it.base } + cluster.agents.map { it.base }
            bases.all { it.revision.value >= revision }
        }
        return if (isApplied) monotonicMillis() - startMillis else -1
    }

    private suspend fun lastCompletionMillis(agents: List<AgentVm>, outMillis: Long): Long {
        var lastMillis = 0L
        var count = countCompletions(agents)
        while (monotonicMillis() - outMillis < ZONE_OUT_MILLIS) {
            delay(POLL_MILLIS / 2)
            val now = countCompletions(agents)
            if (now != count) lastMillis = monotonicMillis() - outMillis
            count = now
        }
        return lastMillis
    }

    private fun checkEngines() {
        val engines = cluster.agents.mapNotNull { it.engine }
        val overLimit = engines.sumOf { it.overLimit.get() }
        val mixed = engines.sumOf { it.inconsistentLoads.get() }
        check("requests beyond the concurrency limit of an engine", "$overLimit", overLimit == 0)
        check("loads of incomplete or mixed weights", "$mixed", mixed == 0)
    }

    /** Events of all processes, merged into one timeline. */
    fun timeline(): List<Event> = mergeTimelines(
        cluster.entries.map { it.base.events.snapshot() } +
            cluster.agents.map { it.base.events.snapshot() }
    )

    private fun check(name: String, value: String, passed: Boolean) {
        checks += TrialCheck(name, value, passed)
    }

    private suspend fun awaitUntil(timeoutMillis: Long, condition: () -> Boolean): Boolean {
        val endMillis = monotonicMillis() + timeoutMillis
        while (monotonicMillis() < endMillis) {
            if (condition()) return true
            delay(POLL_MILLIS)
        }
        return condition()
    }

    private fun printStep(text: String) = println("  $text")

    private companion object {
        const val PERCENT = 100
        const val REPORT_STEP_PERCENT = 20
        const val ORIGIN_COPIES_MAX = 4.0
        const val SHOWN_CHARS_MAX = 100
    }
}
