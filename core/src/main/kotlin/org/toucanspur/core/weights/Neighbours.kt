/*
 * Chooses the neighbours of each VM. All VMs of a region compute the same graph: the members are
 * arranged on several rings, each in an order shuffled by the release, and a VM exchanges chunks
 * with the VMs beside it on every ring. The graph is regular, so the connections of a VM do not
 * grow with the region, and its diameter grows with the logarithm of the members.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.VmId

private const val NEIGHBOURS_PER_RING = 2

/** At most [count] neighbours of [self] among [members]; the relation is symmetric. */
fun neighboursOf(self: VmId, members: Collection<VmId>, count: Int, seed: String): Set<VmId> {
    val vms = (members + self).distinct()
    if (vms.size - 1 <= count) return vms.toSet() - self
    val rings = maxOf(1, count / NEIGHBOURS_PER_RING)
    return (0 until rings).flatMap { ring -> besides(self, vms, "$seed/$ring") }.toSet() - self
}

private fun besides(self: VmId, vms: List<VmId>, seed: String): List<VmId> {
    val key = stableHash(seed)
    val circle = vms.sortedBy { rendezvousScore(key, stableHash(it.value)) }
    val place = circle.indexOf(self)
    return listOf(
        circle[(place + 1) % circle.size],
        circle[(place + circle.size - 1) % circle.size]
    )
}
