/*
 * Prints the digest of a synthetic release. Arguments: MODEL VERSION [ADAPTER...].
 */
package org.toucanspur.bench.tryout

import org.toucanspur.standin.ReleaseSpec
import org.toucanspur.standin.syntheticRelease

private const val RELEASE_BYTES = 24L * 1024 * 1024
private const val CHUNK_BYTES = 256 * 1024

/** Computes digests of the synthetic releases that the trial run uses. */
object Digests {
    @JvmStatic
    fun main(args: Array<String>) {
        val spec = ReleaseSpec(args[0], args[1], args.drop(2), RELEASE_BYTES, CHUNK_BYTES)
        println(syntheticRelease(spec).digest)
    }
}
