/*
 * Selects the agents to which an entry keeps connections. An entry connects to all agents of a
 * small pool. In a large pool each entry uses its own subset, mostly from its region, so that the
 * number of connections grows neither with the number of entries nor with the pool size.
 */
package org.toucanspur.core.membership

import org.toucanspur.schema.PoolId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmRole

private const val LOCAL_SHARE_NUMERATOR = 3
private const val LOCAL_SHARE_DENOMINATOR = 4

/** Selects the agents to which entry [self] in [region] connects, at most [perPool] per pool. */
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
    val (local, remote) = members.partition { it.region == region }
    val localMax = perPool * LOCAL_SHARE_NUMERATOR / LOCAL_SHARE_DENOMINATOR
    val chosenLocal = rendezvousRank(self.value, local, localMax) { it.vm.value }
    val chosenRemote =
        rendezvousRank(self.value, remote, perPool - chosenLocal.size) { it.vm.value }
    return chosenLocal + chosenRemote
}
