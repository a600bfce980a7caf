/*
 * Two operators submit documents; three processes learn of them by watch, by relay and by
 * heartbeat.
 */
package org.toucanspur.bench.faults

import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.DocumentHolder
import org.toucanspur.core.config.DocumentPublisher
import org.toucanspur.core.config.PublishError
import org.toucanspur.core.config.Submission
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument

private const val SUBMISSIONS = 3
private const val ROUNDS = 12

internal class ConfigurationFlow : FaultFlow {
    override val name = "configuration"
    override val steps =
        listOf(
            "submit",
            "read document",
            "keep history",
            "conditional write",
            "watch",
            "relay",
            "heartbeat",
            "adopt"
        )
    override val faults =
        listOf(
            "object API down",
            "answer lost",
            "operators race",
            "process restarts",
            "message lost",
            "message doubled",
            "stale message"
        )
    override val invariants = listOf(
        "accepted means in force everywhere in the end",
        "no process returns to an earlier revision while it runs",
        "a submission that is not accepted is never in force, unless its outcome was called unknown",
        "every accepted revision is in the history",
        "of two racing operators one wins and the other is told who"
    )

    override fun run(injections: List<Injection>): List<String> = runBlocking {
        Run(Injector(injections)).violations()
    }

    private inner class Run(private val injector: Injector) {
        private val found = LinkedHashSet<String>()
        private val key = ObjectKeys.document("trial")
        private val store = FakeObjectStore(::faultOf)
        private val publisher = DocumentPublisher("trial", store)
        private val accepted = mutableListOf<StoredDocument>()
        private val rejected = mutableSetOf<String>()
        private val holders = MutableList(3) { DocumentHolder() }
        private val highest = LongArray(3)
        private var isRacing = false

        suspend fun violations(): List<String> {
            repeat(SUBMISSIONS) { number ->
                submit("change-$number")
                repeat(ROUNDS) { spread() }
            }
            verify()
            return found.toList()
        }

        private fun faultOf(call: String): StoreFault {
            val step = when {
                isRacing -> return StoreFault.NONE
                call == "read $key" -> "read document"
                call == "write $key" -> "conditional write"
                call.startsWith("write") -> "keep history"
                else -> return StoreFault.NONE
            }
            val strikes = injector.at(step)
            if ("operators race" in strikes) race()
            return when {
                "object API down" in strikes -> StoreFault.DOWN
                "answer lost" in strikes -> StoreFault.LOST_ANSWER
                else -> StoreFault.NONE
            }
        }

        private fun race() = runBlocking {
            isRacing = true
            submitAs("other-${accepted.size}", "bob")
            isRacing = false
        }

        private suspend fun submit(id: String) {
            val strikes = injector.at("submit")
            if ("operators race" in strikes) race()
            submitAs(id, "ann")
            if ("message doubled" in strikes) submitAs(id, "ann")
        }

        private suspend fun submitAs(id: String, author: String) {
            val text = faultMatrixDocument.replace(
                "deadline-millis = 1000",
                "deadline-millis = ${1000 + accepted.size}"
            )
            publisher.publish(Submission(id, author, "", text, 0)).fold(
                success = {
                    if (accepted.none { known -> known.submissionId == id }) accepted += it
                },
                failure = { error ->
                    if (error is PublishError.Conflict &&
                        error.winner.submissionId == id
                    ) {
                        found += invariants[4]
                    }
                    if (error !is PublishError.OutcomeUnknown) rejected += id
                }
            )
        }

        private fun spread() {
            val stored =
                store.objects[key]?.let { Json.decodeFromString<StoredDocument>(it.value) }
                    ?: return
            val watch = injector.at("watch")
            if (watch.none {
                    it in setOf("object API down", "message lost", "answer lost")
                }
            ) {
                adopt(0, stored)
            }
            if ("stale message" in watch) accepted.firstOrNull()?.let { adopt(0, it) }
            relay("relay", from = 0, to = 1)
            relay("heartbeat", from = 1, to = 2)
        }

        private fun relay(step: String, from: Int, to: Int) {
            val strikes = injector.at(step)
            val document = holders[from].current?.stored ?: return
            if ("message lost" !in strikes) adopt(to, document)
            if ("message doubled" in strikes) adopt(to, document)
            if ("stale message" in strikes) accepted.firstOrNull()?.let { adopt(to, it) }
        }

        private fun adopt(index: Int, document: StoredDocument) {
            val strikes = injector.at("adopt")
            if ("process restarts" in strikes) {
                holders[index] = DocumentHolder()
                highest[index] = 0
            }
            if ("message lost" !in strikes) holders[index].offer(document)
            if ("stale message" in strikes) accepted.firstOrNull()?.let { holders[index].offer(it) }
            val revision = holders[index].revision.value
            if (revision < highest[index]) found += invariants[1]
            highest[index] = maxOf(highest[index], revision)
        }

        private suspend fun verify() {
            val last = accepted.maxOfOrNull { it.revision.value } ?: return
            if (holders.any { it.revision.value < last }) found += invariants[0]
            accepted.forEach { document ->
                val kept = publisher.revision(Revision(document.revision.value)).fold({
                    it
                }, { null })
                if (kept?.submissionId != document.submissionId) found += invariants[3]
            }
            val inForce = store.objects.values.map {
                Json.decodeFromString<StoredDocument>(it.value).submissionId
            }
            if (inForce.any { it in rejected }) found += invariants[2]
        }
    }
}

private val faultMatrixDocument = """
    [environment]
    name = trial
    deadline-millis = 1000
    [zone a]
    region = north
""".trimIndent()
