/*
 * An at-most-once request with a key, submitted by its caller up to three times through two
 * entries, to two agents. The claim, the record and the decisions are the real ones.
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
private const val RUN_MILLIS = 50L
private const val TIMEOUT_MILLIS = 1000L
private const val LATE_MILLIS = 6000L
private const val OUTAGE_MILLIS = 1500L
private const val RETRY_MILLIS = 4000L
private const val HORIZON_MILLIS = 40_000L
private const val SUBMISSIONS = 3

internal class AtMostOnceRequestFlow : FaultFlow {
    override val name = "at-most-once requests"
    override val steps =
        listOf("read claim", "write claim", "dispatch", "run", "record", "fetch", "answer")
    override val faults = listOf(
        "object API down",
        "answer lost",
        "entry dies",
        "agent dies",
        "message late",
        "message doubled",
        "endpoint refuses"
    )
    override val invariants = listOf(
        "the request runs at most once",
        "a refusal that says it did not run is true",
        "an answer is the answer of the run",
        "without a lost agent or answer the caller gets the answer in the end"
    )

    override fun run(injections: List<Injection>): List<String> = Run(injections).violations()

    private class Agent(val vm: VmId, var incarnation: Incarnation) {
        var record = RequestOutcomeTable(OutcomeTableLimits(1_000_000, 600_000))

        fun restart() {
            incarnation = Incarnation(incarnation.value + 1)
            record = RequestOutcomeTable(OutcomeTableLimits(1_000_000, 600_000))
        }
    }

    private inner class Run(private val injections: List<Injection>) {
        private val injector = Injector(injections)
        private val time = VirtualTime()
        private val found = LinkedHashSet<String>()
        private val agents = List(2) { Agent(VmId("agent-$it"), Incarnation(1)) }
        private var claim: ClaimRecord? = null
        private var claimVersion = 0L
        private var storeDownUntil = 0L
        private var runs = 0
        private var answers = 0
        private var isSettled = false

        fun violations(): List<String> {
            submit(0)
            time.run(HORIZON_MILLIS) { if (runs > 1) found += invariants[0] }
            val mayBeUnknown = injections.any {
                it.fault in
                    setOf("agent dies", "object API down", "endpoint refuses")
            }
            if (answers == 0 && !mayBeUnknown) found += invariants[3]
            return found.toList()
        }

        private fun submit(number: Int) {
            if (number == SUBMISSIONS || isSettled) return
            val agent = agents[number % agents.size]
            val own = ClaimRecord(RequestId("request-$number"), agent.vm, agent.incarnation, "body")
            EntryRun(AtMostOnceFlow(own)).begin()
            time.after(RETRY_MILLIS) { submit(number + 1) }
        }

        private inner class EntryRun(private val flow: AtMostOnceFlow) {
            private var isDead = false

            fun begin() = perform(flow.start())

            private fun feed(input: ClaimInput) {
                if (!isDead) perform(flow.on(input))
            }

            private fun perform(step: ClaimStep) {
                when (step) {
                    is ClaimStep.ReadClaim -> call("read claim", {
                        ClaimInput.StoreDown
                    }) { readClaim() }
                    is ClaimStep.WriteClaim -> call("write claim", {
                        ClaimInput.WriteUnknown
                    }) { writeClaim(step) }
                    is ClaimStep.Dispatch -> toAgent("dispatch", step.record, isDispatch = true)
                    is ClaimStep.Fetch -> toAgent("fetch", step.record, isDispatch = false)
                    is ClaimStep.Relay -> answered()
                    is ClaimStep.Refuse -> refused(step.ran)
                }
            }

            private fun call(step: String, lost: () -> ClaimInput, effect: () -> ClaimInput) {
                val strikes = strike(step, null)
                val delay = if ("message late" in strikes) LATE_MILLIS else LATENCY_MILLIS
                time.after(delay) {
                    if ("message doubled" in strikes) effect()
                    val input = effect()
                    if ("answer lost" in strikes) {
                        time.after(TIMEOUT_MILLIS) { feed(lost()) }
                    } else {
                        time.after(LATENCY_MILLIS) { feed(input) }
                    }
                }
                if ("message late" in strikes) time.after(TIMEOUT_MILLIS) { feed(lost()) }
            }

            private fun strike(step: String, agent: Agent?): Set<String> {
                val strikes = injector.at(step)
                if ("object API down" in strikes) storeDownUntil = time.nowMillis + OUTAGE_MILLIS
                if ("entry dies" in strikes) isDead = true
                if ("agent dies" in strikes) agent?.restart()
                return strikes
            }

            private fun toAgent(step: String, record: ClaimRecord, isDispatch: Boolean) {
                val agent = agents.first { it.vm == record.vm }
                val strikes = strike(step, agent)
                val isLate = "message late" in strikes
                val delay = if (isLate) LATE_MILLIS else LATENCY_MILLIS
                val times = if ("message doubled" in strikes) 2 else 1
                repeat(times) {
                    time.after(delay) { arrive(agent, record, isDispatch, strikes) }
                }
                // A silent connection is replaced, and the result is asked for over a new one.
                if (isLate || "answer lost" in strikes) {
                    time.after(TIMEOUT_MILLIS) { toAgent("fetch", record, isDispatch = false) }
                }
            }

            private fun arrive(
                agent: Agent,
                record: ClaimRecord,
                isDispatch: Boolean,
                strikes: Set<String>
            ) {
                val isLost = "answer lost" in strikes || "message late" in strikes
                when {
                    agent.incarnation != record.incarnation -> reply(
                        isLost,
                        ClaimInput.AgentUnknown
                    )
                    isDispatch -> dispatch(agent, record, strikes, isLost)
                    else -> fetch(agent, record, isLost)
                }
            }

            private fun dispatch(
                agent: Agent,
                record: ClaimRecord,
                strikes: Set<String>,
                isLost: Boolean
            ) {
                val known = agent.record.begin(record.requestId, time.nowMillis)
                when {
                    known != null -> fetch(agent, record, isLost)
                    "endpoint refuses" in strikes -> {
                        agent.record.didNotRun(record.requestId, time.nowMillis)
                        if (!isLost) time.after(LATENCY_MILLIS) { refused(Ran.NO) }
                    }
                    else -> execute(agent, record, isLost)
                }
            }

            private fun execute(agent: Agent, record: ClaimRecord, isLost: Boolean) {
                strike("run", agent)
                runs++
                val life = agent.incarnation
                time.after(RUN_MILLIS) {
                    strike("record", agent)
                    if (agent.incarnation == life) {
                        agent.record.finish(
                            record.requestId,
                            RecordedResponse(200, emptyList(), ByteArray(1)),
                            time.nowMillis
                        )
                        reply(isLost, ClaimInput.AgentAnswers)
                    } else {
                        time.after(TIMEOUT_MILLIS) { feed(ClaimInput.AgentUnknown) }
                    }
                }
            }

            private fun fetch(agent: Agent, record: ClaimRecord, isLost: Boolean) {
                val input = when (
                    val outcome = agent.record.query(
                        record.requestId,
                        time.nowMillis
                    )
                ) {
                    is Outcome.Barred, is Outcome.DidNotRun -> ClaimInput.AgentDidNotRun
                    is Outcome.Done -> if (outcome.response ==
                        null
                    ) {
                        ClaimInput.AgentUnknown
                    } else {
                        ClaimInput.AgentAnswers
                    }
                    is Outcome.Running -> null
                    is Outcome.Unknown -> ClaimInput.AgentUnknown
                }
                if (input ==
                    null
                ) {
                    time.after(RUN_MILLIS) { fetch(agent, record, isLost) }
                } else {
                    reply(isLost, input)
                }
            }

            private fun reply(isLost: Boolean, input: ClaimInput) {
                if (!isLost) time.after(LATENCY_MILLIS) { feed(input) }
            }

            private fun answered() {
                val strikes = strike("answer", null)
                if (isDead || "answer lost" in strikes) return
                answers++
                isSettled = true
                if (runs != 1) found += invariants[2]
            }

            private fun refused(ran: Ran) {
                if (!isDead && ran == Ran.NO && runs > 0) found += invariants[1]
            }
        }

        private fun readClaim(): ClaimInput =
            if (isStoreDown()) ClaimInput.StoreDown else ClaimInput.Read(claim, claimVersion)

        private fun writeClaim(step: ClaimStep.WriteClaim): ClaimInput = when {
            isStoreDown() -> ClaimInput.StoreDown
            step.expectedVersion != claimVersion -> ClaimInput.Conflict
            else -> {
                claim = step.record
                claimVersion++
                ClaimInput.Written
            }
        }

        private fun isStoreDown(): Boolean = time.nowMillis < storeDownUntil
    }
}
