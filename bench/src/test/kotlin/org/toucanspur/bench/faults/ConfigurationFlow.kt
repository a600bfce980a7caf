/*
 * Two operators submit configuration documents. Three processes receive them: the first by a watch
 * on the object API, the second by a relay and the third by a heartbeat.
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
private const val PROPAGATION_ROUNDS = 12

internal class ConfigurationFlow : FaultFlow {
    override val name = "configuration"
    override val steps =
        listOf(
            "submit",
            "read document",
            "write history",
            "conditional write",
            "watch",
            "relay",
            "heartbeat",
            "apply"
        )
    override val faults =
        listOf(
            "object API down",
            "response lost",
            "concurrent submission",
            "process restarts",
            "message lost",
            "message duplicated",
            "stale message"
        )
    override val invariants = listOf(
        "an accepted document is eventually in force in every process",
        "no process goes back to an earlier revision without a restart",
        "a rejected submission is never in force, unless its outcome was reported as unknown",
        "every accepted revision is in the history",
        "of two concurrent submissions one is accepted and the other is told which"
    )

    override fun run(injections: List<Injection>): List<String> = runBlocking {
        Simulation(Injector(injections)).violations()
    }

    private inner class Simulation(private val injector: Injector) {
        private val violated = LinkedHashSet<String>()
        private val key = ObjectKeys.document("trial")
        private val store = FakeObjectStore(::faultFor)
        private val publisher = DocumentPublisher("trial", store)
        private val accepted = mutableListOf<StoredDocument>()
        private val rejectedIds = mutableSetOf<String>()
        private val holders = MutableList(3) { DocumentHolder() }
        private val highestRevisions = LongArray(3)
        private var isSubmittingConcurrently = false

        suspend fun violations(): List<String> {
            repeat(SUBMISSIONS) { number ->
                submit("change-$number")
                repeat(PROPAGATION_ROUNDS) { propagate() }
            }
            checkFinalState()
            return violated.toList()
        }

        private fun faultFor(call: String): StoreFault {
            val step = when {
                isSubmittingConcurrently -> return StoreFault.NONE
                call == "read $key" -> "read document"
                call == "write $key" -> "conditional write"
                call.startsWith("write") -> "write history"
                else -> return StoreFault.NONE
            }
            val injected = injector.faultsAt(step)
            if ("concurrent submission" in injected) submitConcurrently()
            return when {
                "object API down" in injected -> StoreFault.DOWN
                "response lost" in injected -> StoreFault.LOST_RESPONSE
                else -> StoreFault.NONE
            }
        }

        private fun submitConcurrently() = runBlocking {
            isSubmittingConcurrently = true
            submitAs("other-${accepted.size}", "bob")
            isSubmittingConcurrently = false
        }

        private suspend fun submit(id: String) {
            val injected = injector.faultsAt("submit")
            if ("concurrent submission" in injected) submitConcurrently()
            submitAs(id, "ann")
            if ("message duplicated" in injected) submitAs(id, "ann")
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
                        violated += invariants[4]
                    }
                    if (error !is PublishError.OutcomeUnknown) rejectedIds += id
                }
            )
        }

        private fun propagate() {
            val stored =
                store.objects[key]?.let { Json.decodeFromString<StoredDocument>(it.value) }
                    ?: return
            val watchFaults = injector.faultsAt("watch")
            if (watchFaults.none {
                    it in setOf("object API down", "message lost", "response lost")
                }
            ) {
                applyDocument(0, stored)
            }
            if ("stale message" in watchFaults) accepted.firstOrNull()?.let { applyDocument(0, it) }
            forward("relay", from = 0, to = 1)
            forward("heartbeat", from = 1, to = 2)
        }

        private fun forward(step: String, from: Int, to: Int) {
            val injected = injector.faultsAt(step)
            val document = holders[from].current?.stored ?: return
            if ("message lost" !in injected) applyDocument(to, document)
            if ("message duplicated" in injected) applyDocument(to, document)
            if ("stale message" in injected) accepted.firstOrNull()?.let { applyDocument(to, it) }
        }

        private fun applyDocument(index: Int, document: StoredDocument) {
            val injected = injector.faultsAt("apply")
            if ("process restarts" in injected) {
                holders[index] = DocumentHolder()
                highestRevisions[index] = 0
            }
            if ("message lost" !in injected) holders[index].offer(document)
            if ("stale message" in injected) {
                accepted.firstOrNull()?.let { holders[index].offer(it) }
            }
            val revision = holders[index].revision.value
            if (revision < highestRevisions[index]) violated += invariants[1]
            highestRevisions[index] = maxOf(highestRevisions[index], revision)
        }

        private suspend fun checkFinalState() {
            val last = accepted.maxOfOrNull { it.revision.value } ?: return
            if (holders.any { it.revision.value < last }) violated += invariants[0]
            accepted.forEach { document ->
                val recorded = publisher.revision(Revision(document.revision.value)).fold({
                    it
                }, { null })
                if (recorded?.submissionId != document.submissionId) violated += invariants[3]
            }
            val storedIds = store.objects.values.map {
                Json.decodeFromString<StoredDocument>(it.value).submissionId
            }
            if (storedIds.any { it in rejectedIds }) violated += invariants[2]
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
