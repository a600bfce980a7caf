/*
 * Divides the imports of a region between the weight store and the region nearest to it.
 */
package org.toucanspur.core.weights

private const val HOME_EXTRA_UPLOAD_MAX = 0.05
private const val STORE_COPIES_MAX = 3.0

/**
 * Share of its chunks that a region imports from the weight store itself. In a large home region
 * the other regions burden each VM little, so all import from there and the weight store serves
 * one copy. In a small one the store takes part, up to [STORE_COPIES_MAX] copies in all, which
 * leaves one of the four that its link carries for failures.
 */
fun directShare(homeVms: Int, regions: Int): Double {
    if (regions < 2) return 0.0
    val others = regions - 1
    if (homeVms == 0) return 1.0
    val wanted = 1.0 - HOME_EXTRA_UPLOAD_MAX * homeVms / others
    return wanted.coerceIn(0.0, minOf(1.0, (STORE_COPIES_MAX - 1) / others))
}
