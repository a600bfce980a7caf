/*
 * Splits the imports of a region between the weight store and the store region, the
 * region nearest to it.
 */
package org.toucanspur.core.weights

private const val STORE_REGION_EXTRA_UPLOAD_MAX = 0.05
private const val STORE_COPIES_MAX = 3.0

/**
 * Share of its chunks that a region imports directly from the weight store. When the store region
 * has many VMs, uploads to the other regions add little load per VM, so all regions import from it
 * and the weight store serves one copy. When it has few VMs, the weight store serves a share
 * itself, up to [STORE_COPIES_MAX] copies in total. Its link carries four copies; the remaining one
 * is reserved for failures.
 */
fun directShare(storeRegionVms: Int, regions: Int): Double {
    if (regions < 2) return 0.0
    val others = regions - 1
    if (storeRegionVms == 0) return 1.0
    val wanted = 1.0 - STORE_REGION_EXTRA_UPLOAD_MAX * storeRegionVms / others
    return wanted.coerceIn(0.0, minOf(1.0, (STORE_COPIES_MAX - 1) / others))
}
