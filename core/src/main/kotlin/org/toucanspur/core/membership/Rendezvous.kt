/*
 * Rendezvous hashing: all processes with the same candidates compute the same ranking, and the
 * removal of a candidate reassigns only the keys of that candidate.
 */
package org.toucanspur.core.membership

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_FIRST = -0x4b47d0c5a1a6e5b3L
private const val MIX_SECOND = -0x61c8864680b583ebL
private const val MIX_SHIFT_FIRST = 30
private const val MIX_SHIFT_SECOND = 27
private const val MIX_SHIFT_LAST = 31

/** Stable 64-bit hash of [text]. */
fun stableHash(text: String): Long {
    var hash = FNV_OFFSET
    for (char in text) {
        hash = (hash xor char.code.toLong()) * FNV_PRIME
    }
    return mix(hash)
}

/** Score of [candidate] for [key]; the highest score ranks first. */
fun rendezvousScore(key: Long, candidate: Long): Long = mix(key xor mix(candidate))

/** The [count] highest-ranking candidates for [key], best first. */
fun <T> rendezvousRank(
    key: String,
    candidates: Collection<T>,
    count: Int,
    id: (T) -> String
): List<T> {
    val keyHash = stableHash(key)
    return candidates
        .sortedByDescending { rendezvousScore(keyHash, stableHash(id(it))) }
        .take(count)
}

private fun mix(value: Long): Long {
    var mixed = value
    mixed = (mixed xor (mixed ushr MIX_SHIFT_FIRST)) * MIX_FIRST
    mixed = (mixed xor (mixed ushr MIX_SHIFT_SECOND)) * MIX_SECOND
    return mixed xor (mixed ushr MIX_SHIFT_LAST)
}
