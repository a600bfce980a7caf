/*
 * Stand-in for the platform's operations API: accepts usage reports and orders of endpoints at a
 * limited rate, and checks the rules of order.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** The operations API on a loopback port, with leases of [leaseMillis]. */
class OperationsService(leaseMillis: Long, private val callsPerSecond: Int = 50) :
    LoopbackService() {
    private val rules = DutyRules(leaseMillis)
    private val acceptedMillis = ArrayDeque<Long>()
    private val usage = LinkedHashMap<Long, Map<String, Long>>()
    private val orders = LinkedHashMap<Pair<String, String>, Int>()

    /** Status with which all calls are answered in place of 200; they are checked all the same. */
    @Volatile
    var failureStatus: Int? = null

    /** Time before each response. */
    @Volatile
    var delayMillis = 0L

    /** Violations of the rules of order, and invalid calls. */
    val violations: List<String> @Synchronized get() = rules.violations + invalidCalls

    /** Number of calls that were checked. */
    val callCount: Int @Synchronized get() = rules.calls

    /** Reported counts by window. */
    val reportedUsage: Map<Long, Map<String, Long>> @Synchronized get() = LinkedHashMap(usage)

    /** Newest order by service and zone. */
    val desiredCounts: Map<Pair<String, String>, Int> @Synchronized get() = LinkedHashMap(orders)

    private val invalidCalls = ArrayList<String>()

    init {
        handle("/usage") { exchange ->
            serve(exchange) { body, holder, fencing ->
                val window = body.getValue("window-number").jsonPrimitive.long
                val counts = body.getValue("counts").jsonObject
                    .mapValues { it.value.jsonPrimitive.long }
                val call = DutyCall("usage_report", "", holder, fencing, window, counts)
                Accepted(call) { usage[window] = counts }
            }
        }
        handle("/scale") { exchange ->
            serve(exchange) { body, holder, fencing ->
                val service = body.getValue("service").jsonPrimitive.content
                val zone = body.getValue("zone").jsonPrimitive.content
                val count = body.getValue("desired-count").jsonPrimitive.long.toInt()
                val call = DutyCall("scaling", "$service/$zone", holder, fencing)
                Accepted(call) { orders[service to zone] = count }
            }
        }
        listen()
    }

    private class Accepted(val call: DutyCall, val apply: () -> Unit)

    private fun serve(exchange: HttpExchange, decode: (JsonObject, String, Long) -> Accepted) {
        val text = exchange.requestBody.readBytes().decodeToString()
        val status = answer(exchange, text, decode)
        Thread.sleep(delayMillis)
        exchange.respond(status, ByteArray(0))
    }

    @Synchronized
    private fun answer(
        exchange: HttpExchange,
        text: String,
        decode: (JsonObject, String, Long) -> Accepted
    ): Int {
        val nowMillis = System.nanoTime() / NANOS_PER_MILLI
        while (acceptedMillis.isNotEmpty() && nowMillis - acceptedMillis.first() >= PERIOD_MILLIS) {
            acceptedMillis.removeFirst()
        }
        if (acceptedMillis.size >= callsPerSecond) return TOO_MANY_REQUESTS
        acceptedMillis.addLast(nowMillis)
        val holder = exchange.header("X-Duty-Holder")
        val fencing = exchange.header("X-Fencing-Token")?.toLongOrNull()
        val accepted = try {
            if (holder == null || fencing == null) {
                null
            } else {
                decode(Json.parseToJsonElement(text).jsonObject, holder, fencing)
            }
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: NoSuchElementException) {
            null
        }
        if (accepted == null) {
            invalidCalls += "invalid call: ${exchange.requestURI} by $holder, $fencing: $text"
            return BAD_REQUEST
        }
        rules.onCall(accepted.call, nowMillis)
        failureStatus?.let { return it }
        accepted.apply()
        return OK
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val BAD_REQUEST = 400
        const val NANOS_PER_MILLI = 1_000_000L
        const val PERIOD_MILLIS = 1000L
    }
}
