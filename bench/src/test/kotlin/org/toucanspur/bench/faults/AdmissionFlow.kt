/*
 * Requests of a large and a small organisation at the gate of one endpoint.
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
private const val ARRIVAL_MILLIS = 5L
private const val WORK_MILLIS = 40L
private const val SLOW_MILLIS = 2000L
private const val DEADLINE_MILLIS = 3000L
private const val WARM = 8
private const val COLD = 2
private const val HELD = 16
private const val HORIZON_MILLIS = 60_000L
private const val SMALL_EVERY = 10

internal class AdmissionFlow : FaultFlow {
    override val name = "admission"
    override val steps = listOf("accept", "admit", "run", "first byte", "end")
    override val faults =
        listOf(
            "endpoint crash",
            "endpoint cold",
            "endpoint slow",
            "caller gone",
            "endpoint leaves",
            "zone out and back",
            "end reported twice"
        )
    override val invariants = listOf(
        "no more requests run than the limit",
        "no more are held than allowed",
        "every request is run or refused, once",
        "the small organisation is not starved"
    )

    override fun run(injections: List<Injection>): List<String> = Run(injections).violations()

    private inner class Run(private val injections: List<Injection>) {
        private val injector = Injector(injections)
        private val time = VirtualTime()
        private val found = LinkedHashSet<String>()
        private val gate =
            AdmissionController(
                AdmissionSettings(ConcurrencyLimitSettings(COLD, WARM), HELD, 1_000_000),
                shareOf = { 1 }
            )
        private val decided = HashMap<RequestId, Int>()
        private val gone = HashSet<RequestId>()
        private val running = HashSet<RequestId>()
        private var smallRun = 0
        private var slowUntil = 0L

        fun violations(): List<String> {
            gate.setOpen(true, 0)
            repeat(REQUESTS) { number -> time.after(number * ARRIVAL_MILLIS) { arrive(number) } }
            repeat((HORIZON_MILLIS / 100).toInt()) { tick ->
                time.after(tick * 100L) { apply(gate.tick(time.nowMillis)) }
            }
            time.run(HORIZON_MILLIS, ::check)
            val open = (0 until REQUESTS).map { id(it) }.filter { it !in gone && decided[it] != 1 }
            if (open.isNotEmpty()) found += invariants[2]
            val isDisturbed = injections.any {
                it.fault in
                    setOf("endpoint leaves", "endpoint crash", "endpoint slow")
            }
            if (!isDisturbed && smallRun < REQUESTS / SMALL_EVERY * 9 / 10) found += invariants[3]
            return found.toList()
        }

        private fun check() {
            val load = gate.load()
            if (running.size > WARM || load.running > WARM) found += invariants[0]
            if (load.held > HELD) found += invariants[1]
        }

        private fun id(number: Int) = RequestId("request-$number")

        private fun strike(step: String, id: RequestId): Set<String> {
            val strikes = injector.at(step)
            val now = time.nowMillis
            if ("endpoint crash" in strikes) {
                gate.onColdSignal()
                apply(gate.setOpen(false, now))
                time.after(WORK_MILLIS) { apply(gate.setOpen(true, time.nowMillis)) }
            }
            if ("endpoint cold" in strikes) gate.onColdSignal()
            if ("endpoint slow" in strikes) slowUntil = now + SLOW_MILLIS
            if ("endpoint leaves" in strikes) apply(gate.drain())
            if ("zone out and back" in strikes) {
                apply(gate.drain())
                time.after(WORK_MILLIS) { gate.undrain() }
            }
            if ("caller gone" in strikes) cancel(id)
            return strikes
        }

        private fun cancel(id: RequestId) {
            if (gate.cancelWaiting(id)) gone += id
        }

        private fun arrive(number: Int) {
            val isSmall = number % SMALL_EVERY == 0
            val organisation = OrganisationId(if (isSmall) "small" else "large")
            strike("accept", id(number))
            val request = AdmissionRequest(
                id(number),
                organisation,
                Priority.NORMAL,
                100,
                time.nowMillis + DEADLINE_MILLIS
            )
            apply(gate.offer(request, time.nowMillis))
        }

        private fun apply(effects: List<AdmissionEffect>) = effects.forEach { effect ->
            val id = if (effect is AdmissionEffect.Run) {
                effect.id
            } else {
                (effect as AdmissionEffect.Refuse).id
            }
            decided[id] = (decided[id] ?: 0) + 1
            if (effect is AdmissionEffect.Run) {
                running += id
                if (id.value.removePrefix("request-").toInt() % SMALL_EVERY == 0) smallRun++
                time.after(0) { start(id) }
            }
        }

        private fun start(id: RequestId) {
            strike("admit", id)
            strike("run", id)
            val work = if (time.nowMillis < slowUntil) SLOW_MILLIS else WORK_MILLIS
            time.after(work) {
                strike("first byte", id)
                val strikes = strike("end", id)
                running -= id
                val times = if ("end reported twice" in strikes) 2 else 1
                repeat(times) { apply(gate.complete(id, work, time.nowMillis).effects) }
            }
        }
    }
}
