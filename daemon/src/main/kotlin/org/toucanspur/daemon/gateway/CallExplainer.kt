/*
 * Explains what would be done with a request, by taking the decisions of the dispatcher without
 * carrying them out.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpRequest
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointVerdict
import org.toucanspur.core.gateway.ExplainedAdmission
import org.toucanspur.core.gateway.ExplainedEndpoint
import org.toucanspur.core.gateway.ExplainedOutcome
import org.toucanspur.core.gateway.ExplainedRefusal
import org.toucanspur.core.gateway.ExplainedWait
import org.toucanspur.core.gateway.PlacementReasons
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.RequestId

/** Explains requests to one entry; confined to the event loop. */
class CallExplainer(
    private val state: GatewayState,
    private val admission: CallAdmission,
    private val steps: Steps,
    private val delegate: CallDelegate
) {
    /** What decides on a call after its admission, in this order. */
    class Steps(
        val refusals: RefusalPolicy,
        val overload: OverloadControl,
        val decider: CallDecider,
        val queue: CallScheduler
    )

    /** Explains a request of [head]; [canFinish] is false for one that a stop would end. */
    fun explain(
        head: HttpRequest,
        canFinish: (Admission.Admitted, CallerRequestMetadata) -> Boolean
    ): CallExplanation {
        val metadata = delegate.codec.decode { head.headers().get(it) }
        val request = BufferedRequest(head, ByteArray(0), monotonicMillis())
        return when (val admitted = admission.admit(request, metadata)) {
            is Admission.Refused -> unadmitted(admitted.refusal)
            is Admission.Admitted -> {
                val call = callOf(request, metadata, admitted)
                if (canFinish(admitted, metadata)) {
                    explain(call)
                } else {
                    explanation(call, ExplainedOutcome.NOT_READY)
                }
            }
        }
    }

    private fun unadmitted(refusal: Refusal) = CallExplanation(
        state.settings.node.vm.value,
        state.configuration?.version ?: 0,
        when (refusal.status) {
            NOT_FOUND -> ExplainedOutcome.ROUTE_UNKNOWN
            UNAUTHORIZED -> ExplainedOutcome.KEY_UNKNOWN
            else -> ExplainedOutcome.NOT_READY
        },
        refusal = explained(refusal)
    )

    private fun callOf(
        request: BufferedRequest,
        metadata: CallerRequestMetadata,
        admitted: Admission.Admitted
    ): Call {
        val call = Call(
            CallerConnection(NoCaller),
            request,
            metadata.requestId ?: RequestId(""),
            metadata,
            admitted.route,
            admitted.service,
            admitted.organisation,
            delegate
        )
        call.isOnTime = steps.refusals.isOnTime(call, isRecorded = false)
        call.costMillis = state.exchange.costMillis(call)
        return call
    }

    private fun explanation(call: Call, outcome: ExplainedOutcome) = CallExplanation(
        state.settings.node.vm.value,
        state.configuration?.version ?: 0,
        outcome,
        call.route.name,
        call.service.id.value,
        call.route.targets.associate { it.service.value to it.weight },
        call.organisation?.id?.value,
        call.priority
    )

    private fun explain(call: Call): CallExplanation {
        val now = monotonicMillis()
        val reasons = PlacementReasons()
        val shareRefusal = steps.refusals.shareRefusal(call, isRecorded = false)
        // The endpoints are shown for a request that is refused before, too.
        val decision = steps.decider.decide(call, now, reasons)
        val refusal = shareRefusal
            ?: delegate.crashes.wouldRefuse(call, now)
            ?: (decision as? CallDecision.Fail)
                ?.let { steps.refusals.unplaced(call, it.placement, it.cause) }
        val sent = (decision as? CallDecision.Send)?.takeIf { refusal == null }
        val outcome = when {
            refusal != null -> ExplainedOutcome.REFUSED
            sent != null -> ExplainedOutcome.SENT
            else -> ExplainedOutcome.WAITS
        }
        return explanation(call, outcome).copy(
            admission = ExplainedAdmission(
                steps.overload.isOverloaded(call.service.id),
                steps.overload.share(call),
                shareRefusal == null,
                call.isOnTime
            ),
            budgetMillis = reasons.budgetMillis,
            wait = if (outcome == ExplainedOutcome.WAITS) wait(call, now) else null,
            endpoints = reasons.endpoints.map {
                explained(it, it.endpoint === sent?.placement?.endpoint, now)
            },
            refusal = refusal?.let(::explained)
        )
    }

    private fun wait(call: Call, nowMillis: Long) = ExplainedWait(
        call.untilMillis - nowMillis,
        steps.queue.predictedWaitMillis(call, nowMillis)
            .takeIf { it < UNKNOWN_WAIT_MILLIS }
            ?.toLong(),
        steps.queue.isBehindOthers(call)
    )

    private fun explained(verdict: EndpointVerdict, isChosen: Boolean, nowMillis: Long) =
        ExplainedEndpoint(
            verdict.endpoint.record.id.value,
            verdict.endpoint.record.zone.value,
            isChosen,
            verdict.exclusion,
            verdict.firstByteMillis,
            verdict.isWithinBudget,
            verdict.cost,
            verdict.endpoint.occupancy(nowMillis, state.entryCount(nowMillis)),
            verdict.endpoint.record.slots,
            verdict.endpoint.reportAgeMillis(nowMillis)
        )

    private fun explained(refusal: Refusal) = ExplainedRefusal(
        refusal.status,
        refusal.reason,
        refusal.cause.name,
        refusal.retryAfterMillis
    )

    /** A call that is explained has no caller, and nothing is written to it. */
    private object NoCaller : CallerConnectionListener {
        override val bodyMaxBytes get() = 0
        override val isClosing get() = false

        override fun onRequest(connection: CallerConnection, request: BufferedRequest) = Unit

        override fun onResponseEnd(connection: CallerConnection) = Unit

        override fun onDisconnect(connection: CallerConnection) = Unit

        override fun onWritabilityChanged(connection: CallerConnection, isWritable: Boolean) = Unit

        override fun onConnect(connection: CallerConnection) = Unit

        override fun onInternalError(connection: CallerConnection, cause: Throwable) = Unit
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404

        // Longer than any time-out: the wait is not known to end.
        const val UNKNOWN_WAIT_MILLIS = 1e9
    }
}
