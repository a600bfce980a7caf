/*
 * State machine of an entry for an at-most-once request with an idempotency key. The entry claims
 * the key in the object API before it dispatches the request. The claim names the single agent
 * incarnation that may execute the request. An entry that finds an existing claim fetches the
 * response from that agent and never dispatches.
 */
package org.toucanspur.core.requests

import org.toucanspur.schema.ClaimRecord
import org.toucanspur.schema.Ran

/** Input event of the state machine. */
sealed interface ClaimInput {
    /** The claim object was read; [record] is null when it does not exist. */
    data class Read(val record: ClaimRecord?, val version: Long) : ClaimInput

    /** The conditional write of the claim succeeded. */
    data object Written : ClaimInput

    /** The conditional write failed because another claim exists or the claim was changed. */
    data object Conflict : ClaimInput

    /** The response of the object API was lost; the write may have succeeded. */
    data object WriteUnknown : ClaimInput

    /** The object API is unavailable. */
    data object StoreDown : ClaimInput

    /** The claimed agent reports that it did not and will never execute the request id. */
    data object AgentDidNotRun : ClaimInput

    /** The claimed agent serves the response. */
    data object AgentAnswers : ClaimInput

    /** The claimed agent incarnation has ended, is unreachable or does not know the outcome. */
    data object AgentUnknown : ClaimInput
}

/** Next action of the entry. */
sealed interface ClaimStep {
    /** Read the claim object. */
    data object ReadClaim : ClaimStep

    /** Write [record] if the object has [expectedVersion]; 0 means that it must not exist. */
    data class WriteClaim(val record: ClaimRecord, val expectedVersion: Long) : ClaimStep

    /** Dispatch the request once, as claimed. */
    data class Dispatch(val record: ClaimRecord) : ClaimStep

    /** Fetch the response from the claimed agent without dispatching. */
    data class Fetch(val record: ClaimRecord) : ClaimStep

    /** Relay the response to the caller. */
    data object Relay : ClaimStep

    /** Refuse the request. */
    data class Refuse(val ran: Ran, val reason: ClaimRefusal) : ClaimStep
}

/** Why a request with an idempotency key is refused. */
enum class ClaimRefusal { BODY_MISMATCH, STORE_DOWN, OUTCOME_UNKNOWN, CONTENDED }

/** Handles one request with an idempotency key; [proposed] is the claim of this entry. */
class AtMostOnceFlow(private val proposed: ClaimRecord, private val attemptsMax: Int = 8) {
    private var lastRead: ClaimRecord? = null
    private var lastReadVersion = 0L
    private var hasDispatched = false
    private var attempts = 0

    /** Returns the first step. */
    fun start(): ClaimStep = ClaimStep.WriteClaim(proposed, expectedVersion = 0)

    /** Processes one input event and returns the next step. */
    fun on(input: ClaimInput): ClaimStep = when (input) {
        is ClaimInput.Read -> onRead(input)
        is ClaimInput.Written -> dispatchOnce()
        is ClaimInput.Conflict, is ClaimInput.WriteUnknown -> retryRead()
        is ClaimInput.StoreDown -> refuseStoreDown()
        is ClaimInput.AgentDidNotRun -> claimAgain()
        is ClaimInput.AgentAnswers -> ClaimStep.Relay
        is ClaimInput.AgentUnknown ->
            ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.OUTCOME_UNKNOWN)
    }

    private fun onRead(input: ClaimInput.Read): ClaimStep {
        val record = input.record
        lastRead = record
        lastReadVersion = input.version
        return when {
            record == null -> ClaimStep.WriteClaim(proposed, expectedVersion = 0)
            record.bodyDigest != proposed.bodyDigest -> ClaimStep.Refuse(
                Ran.NO,
                ClaimRefusal.BODY_MISMATCH
            )
            record.requestId == proposed.requestId -> dispatchOnce()
            else -> ClaimStep.Fetch(record)
        }
    }

    private fun dispatchOnce(): ClaimStep {
        if (hasDispatched) return ClaimStep.Fetch(proposed)
        hasDispatched = true
        return ClaimStep.Dispatch(proposed)
    }

    // This submission was not dispatched, but an earlier one with the same key may have been
    // executed, which only the object API can tell.
    private fun refuseStoreDown(): ClaimStep = if (hasDispatched) {
        ClaimStep.Fetch(proposed)
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
        val record = lastRead
        if (hasDispatched ||
            record == null
        ) {
            return ClaimStep.Refuse(Ran.UNKNOWN, ClaimRefusal.CONTENDED)
        }
        return ClaimStep.WriteClaim(proposed, lastReadVersion)
    }
}
