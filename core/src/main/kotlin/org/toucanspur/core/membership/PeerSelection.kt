/*
 * Chooses the endpoints that an entry keeps connections to. Small pools are known in full. Of
 * large ones each entry takes its own subset, mostly near ones, so that connections grow neither
 * with the entries nor with the pool.
 */
package org.toucanspur.core.membership

import org.toucanspur.schema.PoolId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmRole

private const val NEAR_SHARE_NUMERATOR = 3
private const val NEAR_SHARE_DENOMINATOR = 4

/** The agents that entry [self] in [region] dials, at most [perPool] of each of [pools]. */
fun selectAgents(
    self: VmId,
    region: RegionId,
    vms: List<VmRecord>,
    pools: Set<PoolId>,
    perPool: Int
): List<VmRecord> = vms
    .filter { it.role == VmRole.AGENT && it.pool in pools }
    .groupBy { it.pool }
    .values
    .flatMap { members -> selectFromPool(self, region, members, perPool) }

private fun selectFromPool(
    self: VmId,
    region: RegionId,
    members: List<VmRecord>,
    perPool: Int
): List<VmRecord> {
    if (members.size <= perPool) return members
    val (near, far) = members.partition { it.region == region }
    val nearWanted = perPool * NEAR_SHARE_NUMERATOR / NEAR_SHARE_DENOMINATOR
    val chosenNear = rendezvousRank(self.value, near, nearWanted) { it.vm.value }
    val chosenFar = rendezvousRank(self.value, far, perPool - chosenNear.size) { it.vm.value }
    return chosenNear + chosenFar
}
