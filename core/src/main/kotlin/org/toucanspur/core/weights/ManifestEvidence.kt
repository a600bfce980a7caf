/*
 * What proves a manifest. Any response of the origin may be corrupt, a manifest as well as a piece,
 * and the manifest is the only thing that pieces are compared with. So two sources have to agree:
 *
 * - on the number of pieces: a copy of the manifest, and the configuration or the staged pieces of
 *   another version; without these, two copies;
 * - on a digest: a copy of the manifest, and bytes that were fetched for the piece.
 *
 * Corrupt bytes alone do not put a manifest in doubt, because they differ from fetch to fetch.
 * Bytes that do not match but are the same again do. Another copy then corrects the digests at
 * which it agrees with the bytes. Nothing else is taken from it, as it may be corrupt elsewhere.
 */
package org.toucanspur.core.weights

private const val DIGEST_CHARS = 64
private const val HEXADECIMAL = "0123456789abcdef"

/** Whether all digests have the form of a digest; a piece cannot match any other. */
val PieceManifest.isWellFormed: Boolean
    get() = digests.isNotEmpty() &&
        digests.all { digest -> digest.length == DIGEST_CHARS && digest.all { it in HEXADECIMAL } }

/** Number of the pieces staged at [indexes], or null if there are none or some are missing. */
fun wholeCountOf(indexes: Set<Int>): Int? =
    indexes.size.takeIf { it > 0 && indexes.containsAll((0 until it).toList()) }

/**
 * Finds out the number of pieces of a version, which is expected to be [expectedCount]; null if
 * nothing is known of it. Not thread-safe.
 */
class PieceCountAgreement(private val expectedCount: Int?) {
    private val copies = HashMap<Int, Int>()

    /**
     * Records a [copy] of the manifest; returns whether its number is agreed. Copies that follow
     * each other may be corrupt in the same way, so that more of them have to contradict the
     * expected number.
     */
    fun add(copy: PieceManifest): Boolean {
        val count = copy.digests.size
        val copiesOfCount = copies.merge(count, 1, Int::plus) ?: 1
        val neededCopies = if (expectedCount == null) COPIES_UNEXPECTED else COPIES_CONTRADICTING
        return count == expectedCount || copiesOfCount >= neededCopies
    }

    private companion object {
        const val COPIES_UNEXPECTED = 2
        const val COPIES_CONTRADICTING = 3
    }
}

/** Digests of a manifest that the bytes of their pieces put in doubt. Not thread-safe. */
class DigestDoubts {
    private val mismatches = HashMap<Int, String>()
    private var reviewAtMillis = Long.MIN_VALUE
    private var pauseMillis = PAUSE_MIN_MILLIS

    /**
     * Records that bytes with [digest] were fetched for the piece at [index], which the manifest
     * does not name. Returns whether another copy of the manifest is needed now.
     */
    fun onMismatch(index: Int, digest: String, nowMillis: Long): Boolean {
        val isRepeated = mismatches.put(index, digest) == digest
        if (!isRepeated || nowMillis < reviewAtMillis) return false
        // The pause grows while copies of the manifest do not settle the doubt.
        reviewAtMillis = nowMillis + pauseMillis
        pauseMillis = minOf(pauseMillis * 2, PAUSE_MAX_MILLIS)
        return true
    }

    /** Returns [current] with the digests at which [copy] agrees with bytes that were fetched. */
    fun correct(current: PieceManifest, copy: PieceManifest): PieceManifest {
        if (copy.digests.size != current.digests.size) return current
        val digests = current.digests.mapIndexed { index, digest ->
            mismatches[index]?.takeIf { it == copy.digests[index] } ?: digest
        }
        if (digests == current.digests) return current
        pauseMillis = PAUSE_MIN_MILLIS
        return current.copy(digests = digests)
    }

    private companion object {
        const val PAUSE_MIN_MILLIS = 250L
        const val PAUSE_MAX_MILLIS = 30_000L
    }
}
