/*
 * Why a fetch of a chunk gave nothing.
 */
package org.toucanspur.core.weights

/** Reason of a failed fetch. */
enum class FetchFailure {
    /** The source does not answer. */
    UNREACHABLE,

    /** The bytes do not match the digest. */
    CORRUPT,

    /** The source does not have the chunk yet. */
    NOT_YET,

    /** The source does not have the chunk, and the weight store failed it at its last attempt. */
    CUT_OFF
}
