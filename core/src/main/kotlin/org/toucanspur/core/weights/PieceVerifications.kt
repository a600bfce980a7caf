/*
 * Times at which the staged pieces of a version were verified. A staged piece can turn bad at any
 * moment, so a verification counts for [PIECE_TRUST_MILLIS] only, also when the process was stopped
 * in between.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading

/** Time for which a staged piece that was verified counts as intact. */
const val PIECE_TRUST_MILLIS = 3000L

/** Records verifications of [pieceCount] pieces. */
class PieceVerifications(private val pieceCount: Int, private val clocks: ClockPair) {
    private val readAt = HashMap<Int, ClockReading>()

    /** Records that a piece was intact; [at] is a time before it was read. */
    fun record(index: Int, at: ClockReading) {
        readAt[index] = at
    }

    /** Indexes of the pieces whose verification is missing or at least [ageMillis] old. */
    fun outdated(ageMillis: Long): List<Int> {
        val now = clocks.now()
        return (0 until pieceCount).filter { index ->
            readAt[index]?.let { now.ageMillis(it) >= ageMillis } ?: true
        }
    }

    /** Whether all pieces were verified less than [ageMillis] ago. */
    fun areWithin(ageMillis: Long): Boolean = outdated(ageMillis).isEmpty()
}
