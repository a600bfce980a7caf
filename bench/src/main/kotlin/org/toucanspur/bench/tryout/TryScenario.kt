/*
 * The trial run behind `bin/try`: a release reaches the endpoints, callers are answered, a booking
 * runs once, a zone leaves and returns, and the operator sees it all.
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
import org.toucanspur.bench.CallerAnswer
import org.toucanspur.bench.Callers
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.EntryVm
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.Place
import org.toucanspur.bench.isWholeStream
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
private const val LAST_WORK_LIMIT_MILLIS = 2000L
private const val LIGHT_TOKENS = 6
private const val CHAT_TOKENS = 24
private val arabicWord = Regex("\\p{IsArabic}+ ")
private val englishWord = Regex("[a-z]+ ")

/** One line of the summary. */
data class TryCheck(val name: String, val figure: String, val holds: Boolean)

/** Runs the trial on [documentText]. */
class TryScenario(private val documentFile: String, private val documentText: String) {
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
    private val places = configuration.zones.map { Place(it.id.value, it.region.value) }
    private val checks = mutableListOf<TryCheck>()

    /** The deployment under trial. */
    val cluster = LocalCluster(ClusterOptions(environment, storeRegion = places.first().region))
    private val http = platformHttpClient(CALL_TIMEOUT_MILLIS)
    private val publisher by lazy {
        DocumentPublisher(environment, HttpObjectStore(http, cluster.objectApi.url))
    }

    /** Runs all steps and returns the checks. */
    suspend fun run(scope: CoroutineScope): List<TryCheck> {
        startCluster()
        publish(documentText, "first deployment")
        spreadWeights()
        Callers(organisation).use { callers ->
            chat(callers)
            book(callers)
            moveZone(scope, callers)
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
                "$documentFile: model ${model.id} has digest ${release.digest}; correct it"
            }
            cluster.weightStore.publish(release)
        }
        places.take(2).forEachIndexed { index, place ->
            cluster.addEntry("entry-${index + 1}", place)
        }
        places.forEachIndexed { index, place -> addEngine(mainPool, index + 1, place) }
        val otherPool = enginePools.first { it.id != mainPool.id }
        addEngine(otherPool, 1, places[1])
        cluster.addService("${servicePool.id}-1", servicePool.id.value, places[0])
        say(
            "started ${cluster.entries.size} entries and ${cluster.agents.size} agents " +
                "in ${places.size} availability zones"
        )
    }

    private suspend fun addEngine(pool: PoolSection, number: Int, place: Place) {
        val behaviour = EngineBehaviour(pool.concurrentMax)
        cluster.addEngine("${pool.id}-$number", pool.id.value, place, behaviour)
    }

    private suspend fun publish(text: String, note: String): Long {
        val submission = Submission(UUID.randomUUID().toString(), "try", note, text, wallMillis())
        val accepted = publisher.publish(submission).fold({ it }, { error(it.message) })
        say("accepted revision ${accepted.revision}: $note")
        return accepted.revision.value
    }

    private suspend fun spreadWeights() {
        val startMillis = monotonicMillis()
        val engines = cluster.agents.filter { it.engine != null }
        var shown = -1
        val isReady = awaitUntil(READY_TIMEOUT_MILLIS) {
            val held = engines.sumOf { it.node.processStatus().chunksHeld }
            val total = engines.sumOf { it.node.processStatus().chunksTotal }
            val percent = if (total == 0) 0 else held * PERCENT / total
            if (percent / STEP_PERCENT !=
                shown / STEP_PERCENT
            ) {
                say("weights: $percent% ($held of $total chunks)")
            }
            shown = percent
            cluster.agents.all { it.node.processStatus().ready } &&
                cluster.entries.all(::seesAllEndpoints)
        }
        val elapsed = monotonicMillis() - startMillis
        check("weights on all endpoints, confirmed by each engine", "$elapsed ms", isReady)
        val released = RELEASE_BYTES * configuration.models.size
        val copies = cluster.weightStore.servedBytes.get().toDouble() / released
        check(
            "copies drawn from the origin (limit 4)",
            "%.2f".format(copies),
            copies <= ORIGIN_COPIES_MAX
        )
    }

    private fun seesAllEndpoints(entry: EntryVm): Boolean =
        entry.node.endpoints().count { it.accepting } == cluster.agents.size

    private suspend fun chat(callers: Callers) {
        val arabic = callers.chat(
            cluster.entries[0].url,
            mainPool.model.value,
            "اكتب تعريفا بالقطة",
            CHAT_TOKENS
        )
        say("Arabic: ${words(arabic)}")
        val english = callers.chat(
            cluster.entries[1].url,
            mainPool.model.value,
            "write a cat profile",
            CHAT_TOKENS
        )
        say("English: ${words(english)}")
        check(
            "Arabic answer whole",
            "first byte ${arabic.firstByteMillis} ms",
            isWholeStream(arabic) && arabicWord.containsMatchIn(words(arabic))
        )
        check(
            "English answer whole",
            "first byte ${english.firstByteMillis} ms",
            isWholeStream(english) && englishWord.containsMatchIn(words(english))
        )
    }

    private fun words(answer: CallerAnswer): String =
        Regex("\"content\":\"([^\"]*)\"").findAll(answer.body).map {
            it.groupValues[1]
        }.joinToString("").take(LINE_CHARS)

    private suspend fun book(callers: Callers) {
        val route = service.atMostOnce.first()
        val path = route.path.removeSuffix("*").trimEnd('/')
        val body = """{"slot":"18:30","seats":2}"""
        val first = callers.service(
            cluster.entries[0].url,
            route.method,
            "${service.id}$path",
            body,
            "booking-1"
        )
        val second = callers.service(
            cluster.entries[1].url,
            route.method,
            "${service.id}$path",
            body,
            "booking-1"
        )
        val runs = cluster.agents.mapNotNull {
            it.service
        }.sumOf { it.runsOf(route.method, path, body) }
        say(
            "booking: ${first.status} ${first.body}, " +
                "repeated through the other entry: ${second.status} ${second.body}"
        )
        check(
            "keyed call sent twice ran once",
            "$runs run",
            runs == 1 && first.isOk && first.body == second.body
        )
    }

    private suspend fun moveZone(scope: CoroutineScope, callers: Callers) {
        val zone = places[1].zone
        val answers = ConcurrentLinkedQueue<CallerAnswer>()
        val load = startLoad(scope, callers, answers)
        delay(ZONE_BACK_MILLIS / 2)
        val inZone = cluster.agents.filter { it.place.zone == zone }
        val before = completions(inZone)
        val outMillis = monotonicMillis()
        val revision = publish(withZone(zone, "out"), "zone $zone out")
        val forceMillis = awaitRevision(revision)
        val lastWork = lastNewWork(inZone, outMillis)
        check(
            "document in force on all processes",
            "$forceMillis ms",
            forceMillis in 0..LAST_WORK_LIMIT_MILLIS
        )
        check(
            "last new work in the zone after it was taken out",
            "$lastWork ms",
            lastWork <= LAST_WORK_LIMIT_MILLIS
        )
        publish(withZone(zone, "in"), "zone $zone back")
        val during = completions(inZone)
        delay(ZONE_BACK_MILLIS)
        val after = completions(inZone)
        load.forEach { it.cancel() }
        load.forEach { it.join() }
        check(
            "zone served before and after",
            "$before then ${after - during} answers",
            before > 0 && after > during
        )
        val failed = answers.count { !isWholeStream(it) }
        check(
            "requests failed while the zone left and returned",
            "$failed of ${answers.size}",
            failed == 0 && answers.isNotEmpty()
        )
    }

    private fun startLoad(
        scope: CoroutineScope,
        callers: Callers,
        answers: ConcurrentLinkedQueue<CallerAnswer>
    ): List<Job> = cluster.entries.map { entry ->
        scope.launch {
            var number = 0
            while (true) {
                answers +=
                    callers.chat(
                        entry.url,
                        mainPool.model.value,
                        "question ${number++} to ${entry.id}",
                        LIGHT_TOKENS
                    )
                delay(LOAD_PAUSE_MILLIS)
            }
        }
    }

    private fun completions(agents: List<AgentVm>): Int = agents.sumOf {
        it.engine?.completed?.get()
            ?: 0
    }

    private fun withZone(zone: String, state: String): String {
        val header = "[zone $zone]"
        val withoutState = documentText.replace(Regex("(?m)^state\\s*=.*\\n"), "")
        return withoutState.replace(header, "$header\nstate = $state")
    }

    private suspend fun awaitRevision(revision: Long): Long {
        val startMillis = monotonicMillis()
        val isDone = awaitUntil(READY_TIMEOUT_MILLIS) {
            val bases = cluster.entries.map { it.base } + cluster.agents.map { it.base }
            bases.all { it.revision.value >= revision }
        }
        return if (isDone) monotonicMillis() - startMillis else -1
    }

    private suspend fun lastNewWork(agents: List<AgentVm>, outMillis: Long): Long {
        var last = 0L
        var count = completions(agents)
        while (monotonicMillis() - outMillis < ZONE_OUT_MILLIS) {
            delay(POLL_MILLIS / 2)
            val now = completions(agents)
            if (now != count) last = monotonicMillis() - outMillis
            count = now
        }
        return last
    }

    private fun checkEngines() {
        val engines = cluster.agents.mapNotNull { it.engine }
        val overLimit = engines.sumOf { it.overLimit.get() }
        val mixed = engines.sumOf { it.inconsistentLoads.get() }
        check("requests beyond what an engine bears", "$overLimit", overLimit == 0)
        check("loads of partial or mixed weights", "$mixed", mixed == 0)
    }

    /** Events of all processes in order. */
    fun timeline(): List<Event> = mergeTimelines(
        cluster.entries.map { it.base.events.snapshot() } +
            cluster.agents.map { it.base.events.snapshot() }
    )

    private fun check(name: String, figure: String, holds: Boolean) {
        checks += TryCheck(name, figure, holds)
    }

    private suspend fun awaitUntil(timeoutMillis: Long, condition: () -> Boolean): Boolean {
        val endMillis = monotonicMillis() + timeoutMillis
        while (monotonicMillis() < endMillis) {
            if (condition()) return true
            delay(POLL_MILLIS)
        }
        return condition()
    }

    private fun say(text: String) = println("  $text")

    private companion object {
        const val PERCENT = 100
        const val STEP_PERCENT = 20
        const val ORIGIN_COPIES_MAX = 4.0
        const val LINE_CHARS = 100
    }
}
