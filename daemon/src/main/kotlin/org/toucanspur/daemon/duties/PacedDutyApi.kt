/*
 * Calls to the operations API within its rate, with their metrics.
 */
package org.toucanspur.daemon.duties

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.serialization.json.put
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyCallRate
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.events.EventCode
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** Makes the calls of [api] as far as [rate] allows; the others are RATE_LIMITED and not sent. */
class PacedDutyApi(
    private val api: DutyApi,
    private val rate: DutyCallRate,
    private val log: DecisionLog,
    private val registry: MeterRegistry
) : DutyApi {
    override suspend fun reportUsage(
        permit: DutyPermit,
        window: Long,
        counts: Map<OrganisationId, Long>
    ): DutyReply = call("usage_report") { api.reportUsage(permit, window, counts) }

    override suspend fun orderEndpoints(
        permit: DutyPermit,
        service: ServiceId,
        zone: ZoneId,
        count: Int
    ): DutyReply = call("scaling") { api.orderEndpoints(permit, service, zone, count) }

    private suspend fun call(duty: String, send: suspend () -> DutyReply): DutyReply {
        if (!rate.tryCall(monotonicMillis())) {
            registry.counter("toucanspur.duties.calls.held.back", "duty", duty).increment()
            return DutyReply.RATE_LIMITED
        }
        val reply = send()
        rate.onReply(reply, monotonicMillis())
        registry.counter("toucanspur.duties.calls", "duty", duty, "reply", reply.name).increment()
        if (reply != DutyReply.ACCEPTED) {
            log.event(EventCode.DUTY_CALL_FAILED, isEssential = false) {
                put("duty", duty)
                put("reply", reply.name)
            }
        }
        return reply
    }
}
