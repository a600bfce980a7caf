/*
 * The way of an at-most-once request with a caller's idempotency key through an entry. The key is
 * claimed in the object API before anything is dispatched; the claim names the one life of the one
 * agent that may run the request. Whoever finds a claim asks that agent and never dispatches.
 */
package org.toucanspur.core.requests

import org.toucanspur.schema.ClaimRecord
import org.toucanspur.schema.Ran

/** What happened outside. */
sealed interface ClaimInput {
    /** The claim object as read; [record] is null when it is absent. */
    data class Read(val record: ClaimRecord?, val version: Long) : ClaimInput

    /** The conditional update of the claim took effect. */
    data object Written : ClaimInput

    /** Another claim was there first, or changed in the meantime. */
    data object Conflict : ClaimInput

    /** The answer of the object API was lost; the write may have taken effect. */
    data object WriteUnknown : ClaimInput

    /** The object API does not answer. */
    data object StoreDown : ClaimInput

    /** The claimed agent answers that the request did not run and never will under its id. */
    data object AgentDidNotRun : ClaimInput

    /** The claimed agent serves the answer. */
    data object AgentHasResponse : ClaimInput

    /** The claimed life of the agent is gone, or cannot be reached. */
    data object AgentUnreachable : ClaimInput
}

/** What the entry does next. */
sealed interface ClaimStep {
    /** Read the claim object. */
    data object ReadClaim : ClaimStep

    /** Write [record], expecting [expectedVersion] (0: absent). */
    data class WriteClaim(val record: ClaimRecord, val expectedVersion: Long) : ClaimStep

    /** Dispatch the request, once, as claimed. */
    data class Dispatch(val record: ClaimRecord) : ClaimStep

    /** Ask the claimed agent for the answer; never dispatch. */
    data class Fetch(val record: ClaimRecord) : ClaimStep

    /** Relay the answer. */
    data object Relay : ClaimStep

    /** Refuse the request. */
    data class Refuse(val ran: Ran, val reason: ClaimRefusal) : ClaimStep
}

/** Why a keyed request is refused. */
enum class ClaimRefusal { BODY_MISMATCH, STORE_DOWN, OUTCOME_UNKNOWN, CONTENDED }

/** One keyed request on one entry; [own] is the claim this entry proposes. */
class AtMostOnceFlow(private val own: ClaimRecord, private val attemptsMax: Int = 8) {
    private var known: ClaimRecord? = null
    private var knownVersion = 0L
    private var hasDispatched = false
    private var attempts = 0

    /** The first step. */
    fun start(): ClaimStep = ClaimStep.WriteClaim(own, expectedVersion = 0)

    /** Advances the flow by one input. */
    fun on(input: ClaimInput): ClaimStep = when (input) {
        is ClaimInput.Read -> onRead(input)
        is ClaimInput.Written -> dispatchOnce()
        is ClaimInput.Conflict, is ClaimInput.WriteUnknown -> retryRead()
        is ClaimInput.StoreDown -> refuseStoreDown()
        is ClaimInput.AgentDidNotRun -> claimAgain()
        is ClaimInput.AgentHasResponse -> ClaimStep.Relay
        is ClaimInput.AgentUnreachable -> ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.OUTCOME_UNKNOWN)
    }

    private fun onRead(input: ClaimInput.Read): ClaimStep {
        val record = input.record
        known = record
        knownVersion = input.version
        return when {
            record == null -> ClaimStep.WriteClaim(own, expectedVersion = 0)
            record.bodyDigest != own.bodyDigest -> ClaimStep.Refuse(
                Ran.NO,
                ClaimRefusal.BODY_MISMATCH
            )
            record.requestId == own.requestId -> dispatchOnce()
            else -> ClaimStep.Fetch(record)
        }
    }

    private fun dispatchOnce(): ClaimStep {
        if (hasDispatched) return ClaimStep.Fetch(own)
        hasDispatched = true
        return ClaimStep.Dispatch(own)
    }

    // This submission was not dispatched, but an earlier one under the same key may have run, and
    // only the object API could tell.
    private fun refuseStoreDown(): ClaimStep = if (hasDispatched) {
        ClaimStep.Fetch(own)
    } else {
        ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.STORE_DOWN)
    }

    private fun retryRead(): ClaimStep {
        attempts++
        return if (attempts >= attemptsMax) {
            ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.CONTENDED)
        } else {
            ClaimStep.ReadClaim
        }
    }

    private fun claimAgain(): ClaimStep {
        val record = known
        if (hasDispatched ||
            record == null
        ) {
            return ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.CONTENDED)
        }
        return ClaimStep.WriteClaim(own, knownVersion)
    }
}
