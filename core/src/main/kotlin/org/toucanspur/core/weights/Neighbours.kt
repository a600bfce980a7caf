/*
 * Selects the neighbours of each VM. All VMs of a region compute the same graph: the members are
 * arranged on several rings, each shuffled with a seed, and a VM exchanges chunks with its
 * predecessor and successor on every ring. The graph is regular, so the number of connections per
 * VM does not grow with the region, and the diameter grows logarithmically with the member count.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.VmId

private const val NEIGHBOURS_PER_RING = 2

/**
 * Returns at most [count] neighbours of [self] among [members], or two when [count] is 1. The
 * relation is symmetric.
 */
fun neighboursOf(self: VmId, members: Collection<VmId>, count: Int, seed: String): Set<VmId> {
    val vms = (members + self).distinct()
    if (vms.size - 1 <= count) return vms.toSet() - self
    val rings = maxOf(1, count / NEIGHBOURS_PER_RING)
    return (0 until rings).flatMap { ring -> adjacentTo(self, vms, "$seed/$ring") }.toSet() - self
}

private fun adjacentTo(self: VmId, vms: List<VmId>, seed: String): List<VmId> {
    val key = stableHash(seed)
    val ringOrder = vms.sortedBy { rendezvousScore(key, stableHash(it.value)) }
    val position = ringOrder.indexOf(self)
    return listOf(
        ringOrder[(position + 1) % ringOrder.size],
        ringOrder[(position + ringOrder.size - 1) % ringOrder.size]
    )
}
