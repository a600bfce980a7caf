/*
 * An at-most-once request with a key, which its caller submits up to three times, each time through
 * another incarnation of an entry and to one of two agents. The claim records, the outcome table
 * and the state machine of the entry are the production classes.
 */
package org.toucanspur.bench.faults

import org.toucanspur.core.requests.AtMostOnceFlow
import org.toucanspur.core.requests.ClaimInput
import org.toucanspur.core.requests.ClaimStep
import org.toucanspur.core.requests.Outcome
import org.toucanspur.core.requests.OutcomeTableLimits
import org.toucanspur.core.requests.RecordedResponse
import org.toucanspur.core.requests.RequestOutcomeTable
import org.toucanspur.schema.ClaimRecord
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.Ran
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.VmId

private const val LATENCY_MILLIS = 2L
private const val EXECUTION_MILLIS = 50L
private const val TIMEOUT_MILLIS = 1000L
private const val DELAYED_MILLIS = 6000L
private const val OUTAGE_MILLIS = 1500L
private const val RESUBMIT_INTERVAL_MILLIS = 4000L
private const val HORIZON_MILLIS = 40_000L
private const val SUBMISSIONS = 3

internal class AtMostOnceRequestFlow : FaultFlow {
    override val name = "at-most-once requests"
    override val steps =
        listOf(
            "read claim",
            "write claim",
            "dispatch",
            "execute",
            "record outcome",
            "fetch outcome",
            "relay"
        )
    override val faults = listOf(
        "object API down",
        "response lost",
        "entry crashes",
        "agent restarts",
        "message delayed",
        "message duplicated",
        "endpoint refuses"
    )
    override val invariants = listOf(
        "the request runs at most once",
        "a refusal that says the request did not run is correct",
        "the caller gets a response only if the request ran exactly once",
        "the caller eventually gets a response unless the agent, object API or endpoint fails"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(injections).violations()

    private class Agent(val vm: VmId, var incarnation: Incarnation) {
        var outcomes = RequestOutcomeTable(OutcomeTableLimits(1_000_000, 600_000))

        fun restart() {
            incarnation = Incarnation(incarnation.value + 1)
            outcomes = RequestOutcomeTable(OutcomeTableLimits(1_000_000, 600_000))
        }
    }

    private inner class Simulation(private val injections: List<Injection>) {
        private val injector = Injector(injections)
        private val time = VirtualTimeScheduler()
        private val violated = LinkedHashSet<String>()
        private val agents = List(2) { Agent(VmId("agent-$it"), Incarnation(1)) }
        private var storedClaim: ClaimRecord? = null
        private var storedClaimVersion = 0L
        private var storeDownUntil = 0L
        private var executions = 0
        private var responses = 0
        private var isAnswered = false

        fun violations(): List<String> {
            submit(0)
            time.runUntil(HORIZON_MILLIS) { if (executions > 1) violated += invariants[0] }
            val mayEndWithoutResponse = injections.any {
                it.fault in setOf("agent restarts", "object API down", "endpoint refuses")
            }
            if (responses == 0 && !mayEndWithoutResponse) violated += invariants[3]
            return violated.toList()
        }

        private fun submit(number: Int) {
            if (number == SUBMISSIONS || isAnswered) return
            val agent = agents[number % agents.size]
            val ownClaim =
                ClaimRecord(RequestId("request-$number"), agent.vm, agent.incarnation, "body")
            EntryRun(AtMostOnceFlow(ownClaim)).startClaim()
            time.schedule(RESUBMIT_INTERVAL_MILLIS) { submit(number + 1) }
        }

        private inner class EntryRun(private val flow: AtMostOnceFlow) {
            private var isCrashed = false

            fun startClaim() = perform(flow.start())

            private fun feed(input: ClaimInput) {
                if (!isCrashed) perform(flow.on(input))
            }

            private fun perform(step: ClaimStep) {
                when (step) {
                    is ClaimStep.ReadClaim -> callStore("read claim", {
                        ClaimInput.StoreDown
                    }) { readClaim() }
                    is ClaimStep.WriteClaim -> callStore("write claim", {
                        ClaimInput.WriteUnknown
                    }) { writeClaim(step) }
                    is ClaimStep.Dispatch -> send("dispatch", step.record, isDispatch = true)
                    is ClaimStep.Fetch -> send("fetch outcome", step.record, isDispatch = false)
                    is ClaimStep.Relay -> relayResponse()
                    is ClaimStep.Refuse -> reportRefusal(step.ran)
                }
            }

            private fun callStore(
                step: String,
                timeoutInput: () -> ClaimInput,
                operation: () -> ClaimInput
            ) {
                val injected = injectFaults(step, null)
                val delay = if ("message delayed" in injected) DELAYED_MILLIS else LATENCY_MILLIS
                time.schedule(delay) {
                    if ("message duplicated" in injected) operation()
                    val input = operation()
                    if ("response lost" in injected) {
                        time.schedule(TIMEOUT_MILLIS) { feed(timeoutInput()) }
                    } else {
                        time.schedule(LATENCY_MILLIS) { feed(input) }
                    }
                }
                if ("message delayed" in injected) {
                    time.schedule(TIMEOUT_MILLIS) { feed(timeoutInput()) }
                }
            }

            private fun injectFaults(step: String, agent: Agent?): Set<String> {
                val injected = injector.faultsAt(step)
                if ("object API down" in injected) storeDownUntil = time.nowMillis + OUTAGE_MILLIS
                if ("entry crashes" in injected) isCrashed = true
                if ("agent restarts" in injected) agent?.restart()
                return injected
            }

            private fun send(step: String, record: ClaimRecord, isDispatch: Boolean) {
                val agent = agents.first { it.vm == record.vm }
                val injected = injectFaults(step, agent)
                val isDelayed = "message delayed" in injected
                val delay = if (isDelayed) DELAYED_MILLIS else LATENCY_MILLIS
                val times = if ("message duplicated" in injected) 2 else 1
                repeat(times) {
                    time.schedule(delay) { receive(agent, record, isDispatch, injected) }
                }
                // After a timeout the entry fetches the outcome over a new connection.
                if (isDelayed || "response lost" in injected) {
                    time.schedule(TIMEOUT_MILLIS) {
                        send("fetch outcome", record, isDispatch = false)
                    }
                }
            }

            private fun receive(
                agent: Agent,
                record: ClaimRecord,
                isDispatch: Boolean,
                injected: Set<String>
            ) {
                val isLost = "response lost" in injected || "message delayed" in injected
                when {
                    agent.incarnation != record.incarnation -> reply(
                        isLost,
                        ClaimInput.AgentUnknown
                    )
                    isDispatch -> dispatch(agent, record, injected, isLost)
                    else -> fetch(agent, record, isLost)
                }
            }

            private fun dispatch(
                agent: Agent,
                record: ClaimRecord,
                injected: Set<String>,
                isLost: Boolean
            ) {
                val existing = agent.outcomes.begin(record.requestId, time.nowMillis)
                when {
                    existing != null -> fetch(agent, record, isLost)
                    "endpoint refuses" in injected -> {
                        agent.outcomes.didNotRun(record.requestId, time.nowMillis)
                        if (!isLost) time.schedule(LATENCY_MILLIS) { reportRefusal(Ran.NO) }
                    }
                    else -> execute(agent, record, isLost)
                }
            }

            private fun execute(agent: Agent, record: ClaimRecord, isLost: Boolean) {
                injectFaults("execute", agent)
                executions++
                val startedIn = agent.incarnation
                time.schedule(EXECUTION_MILLIS) {
                    injectFaults("record outcome", agent)
                    if (agent.incarnation == startedIn) {
                        agent.outcomes.finish(
                            record.requestId,
                            RecordedResponse(200, emptyList(), ByteArray(1)),
                            time.nowMillis
                        )
                        reply(isLost, ClaimInput.AgentAnswers)
                    } else {
                        time.schedule(TIMEOUT_MILLIS) { feed(ClaimInput.AgentUnknown) }
                    }
                }
            }

            private fun fetch(agent: Agent, record: ClaimRecord, isLost: Boolean) {
                val input = when (
                    val outcome = agent.outcomes.query(
                        record.requestId,
                        time.nowMillis
                    )
                ) {
                    is Outcome.Barred, is Outcome.DidNotRun -> ClaimInput.AgentDidNotRun
                    is Outcome.Done -> if (outcome.response == null) {
                        ClaimInput.AgentUnknown
                    } else {
                        ClaimInput.AgentAnswers
                    }
                    is Outcome.Running -> null
                    is Outcome.Unknown -> ClaimInput.AgentUnknown
                }
                if (input == null) {
                    time.schedule(EXECUTION_MILLIS) { fetch(agent, record, isLost) }
                } else {
                    reply(isLost, input)
                }
            }

            private fun reply(isLost: Boolean, input: ClaimInput) {
                if (!isLost) time.schedule(LATENCY_MILLIS) { feed(input) }
            }

            private fun relayResponse() {
                val injected = injectFaults("relay", null)
                if (isCrashed || "response lost" in injected) return
                responses++
                isAnswered = true
                if (executions != 1) violated += invariants[2]
            }

            private fun reportRefusal(ran: Ran) {
                if (!isCrashed && ran == Ran.NO && executions > 0) violated += invariants[1]
            }
        }

        private fun readClaim(): ClaimInput = if (isStoreDown()) {
            ClaimInput.StoreDown
        } else {
            ClaimInput.Read(
                storedClaim,
                storedClaimVersion
            )
        }

        private fun writeClaim(step: ClaimStep.WriteClaim): ClaimInput = when {
            isStoreDown() -> ClaimInput.StoreDown
            step.expectedVersion != storedClaimVersion -> ClaimInput.Conflict
            else -> {
                storedClaim = step.record
                storedClaimVersion++
                ClaimInput.Written
            }
        }

        private fun isStoreDown(): Boolean = time.nowMillis < storeDownUntil
    }
}
