/*
 * Requests of a large and a small organisation at the admission controller of one endpoint.
 */
package org.toucanspur.bench.faults

import org.toucanspur.core.admission.AdmissionController
import org.toucanspur.core.admission.AdmissionEffect
import org.toucanspur.core.admission.AdmissionRequest
import org.toucanspur.core.admission.AdmissionSettings
import org.toucanspur.core.admission.ConcurrencyLimitSettings
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Priority
import org.toucanspur.schema.RequestId

private const val REQUESTS = 400
private const val ARRIVAL_INTERVAL_MILLIS = 5L
private const val WORK_MILLIS = 40L
private const val SLOW_MILLIS = 2000L
private const val DEADLINE_MILLIS = 3000L
private const val WARM_LIMIT = 8
private const val COLD_LIMIT = 2
private const val MAX_HELD = 16
private const val HORIZON_MILLIS = 60_000L
private const val SMALL_INTERVAL = 10

internal class AdmissionFlow : FaultFlow {
    override val name = "admission"
    override val steps = listOf("accept", "admit", "run", "first byte", "complete")
    override val faults =
        listOf(
            "endpoint crash",
            "cold signal",
            "endpoint slow",
            "caller cancels",
            "endpoint drains",
            "zone drained and restored",
            "completion reported twice"
        )
    override val invariants = listOf(
        "the running requests never exceed the concurrency limit",
        "the held requests never exceed their limit",
        "every request that is not cancelled is run or refused exactly once",
        "the small organisation is not starved by the large one"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(injections).violations()

    private inner class Simulation(private val injections: List<Injection>) {
        private val injector = Injector(injections)
        private val time = VirtualTimeScheduler()
        private val violated = LinkedHashSet<String>()
        private val controller =
            AdmissionController(
                AdmissionSettings(
                    ConcurrencyLimitSettings(COLD_LIMIT, WARM_LIMIT),
                    MAX_HELD,
                    1_000_000
                ),
                shareOf = { 1 }
            )
        private val decisions = HashMap<RequestId, Int>()
        private val cancelled = HashSet<RequestId>()
        private val running = HashSet<RequestId>()
        private var smallRuns = 0
        private var slowUntil = 0L

        fun violations(): List<String> {
            controller.setOpen(true, 0)
            repeat(REQUESTS) { number ->
                time.schedule(number * ARRIVAL_INTERVAL_MILLIS) { submit(number) }
            }
            repeat((HORIZON_MILLIS / 100).toInt()) { tick ->
                time.schedule(tick * 100L) { applyEffects(controller.tick(time.nowMillis)) }
            }
            time.runUntil(HORIZON_MILLIS, ::check)
            val undecided = (0 until REQUESTS).map { id(it) }
                .filter { it !in cancelled && decisions[it] != 1 }
            if (undecided.isNotEmpty()) violated += invariants[2]
            val isDisturbed = injections.any {
                it.fault in setOf("endpoint drains", "endpoint crash", "endpoint slow")
            }
            if (!isDisturbed && smallRuns < REQUESTS / SMALL_INTERVAL * 9 / 10) {
                violated += invariants[3]
            }
            return violated.toList()
        }

        private fun check() {
            val load = controller.load()
            if (running.size > WARM_LIMIT || load.running > WARM_LIMIT) violated += invariants[0]
            if (load.held > MAX_HELD) violated += invariants[1]
        }

        private fun id(number: Int) = RequestId("request-$number")

        private fun injectFaults(step: String, id: RequestId): Set<String> {
            val injected = injector.faultsAt(step)
            val now = time.nowMillis
            if ("endpoint crash" in injected) {
                controller.onColdSignal()
                applyEffects(controller.setOpen(false, now))
                time.schedule(WORK_MILLIS) {
                    applyEffects(controller.setOpen(true, time.nowMillis))
                }
            }
            if ("cold signal" in injected) controller.onColdSignal()
            if ("endpoint slow" in injected) slowUntil = now + SLOW_MILLIS
            if ("endpoint drains" in injected) applyEffects(controller.drain())
            if ("zone drained and restored" in injected) {
                applyEffects(controller.drain())
                time.schedule(WORK_MILLIS) { controller.undrain() }
            }
            if ("caller cancels" in injected) cancel(id)
            return injected
        }

        private fun cancel(id: RequestId) {
            if (controller.cancelWaiting(id)) cancelled += id
        }

        private fun submit(number: Int) {
            val isSmall = number % SMALL_INTERVAL == 0
            val organisation = OrganisationId(if (isSmall) "small" else "large")
            injectFaults("accept", id(number))
            val request = AdmissionRequest(
                id(number),
                organisation,
                Priority.NORMAL,
                100,
                time.nowMillis + DEADLINE_MILLIS
            )
            applyEffects(controller.offer(request, time.nowMillis))
        }

        private fun applyEffects(effects: List<AdmissionEffect>) = effects.forEach { effect ->
            val id = if (effect is AdmissionEffect.Run) {
                effect.id
            } else {
                (effect as AdmissionEffect.Refuse).id
            }
            decisions[id] = (decisions[id] ?: 0) + 1
            if (effect is AdmissionEffect.Run) {
                running += id
                if (id.value.removePrefix("request-").toInt() % SMALL_INTERVAL == 0) smallRuns++
                time.schedule(0) { start(id) }
            }
        }

        private fun start(id: RequestId) {
            injectFaults("admit", id)
            injectFaults("run", id)
            val workMillis = if (time.nowMillis < slowUntil) SLOW_MILLIS else WORK_MILLIS
            time.schedule(workMillis) {
                injectFaults("first byte", id)
                val injected = injectFaults("complete", id)
                running -= id
                val times = if ("completion reported twice" in injected) 2 else 1
                repeat(times) {
                    applyEffects(controller.complete(id, workMillis, time.nowMillis).effects)
                }
            }
        }
    }
}
