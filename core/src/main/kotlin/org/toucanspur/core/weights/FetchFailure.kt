package org.toucanspur.core.weights

/** Reason why a chunk could not be fetched. */
enum class FetchFailure {
    /** The source does not respond. */
    UNREACHABLE,

    /** The received bytes do not match the digest. */
    CORRUPT,

    /** The source does not have the chunk yet. */
    NOT_YET,

    /** The source does not have the chunk, and its last fetch from the weight store failed. */
    UPSTREAM_UNAVAILABLE
}
