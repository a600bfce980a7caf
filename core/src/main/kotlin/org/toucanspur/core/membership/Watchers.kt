/*
 * Chooses the few processes of a region that hold watches on the object API. The others learn of a
 * new revision from heartbeats, so the calls to the object API do not grow with the fleet.
 */
package org.toucanspur.core.membership

import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmState

/** Watches held per region. */
const val WATCHERS_PER_REGION = 3

/** Whether [self] holds a watch, given the VM list; a VM that the list lacks does not. */
fun isWatcher(self: VmId, environment: String, vms: List<VmRecord>): Boolean {
    val own = vms.find { it.vm == self } ?: return false
    val candidates = vms.filter { it.region == own.region && it.state == VmState.LIVE }
    val watchers = rendezvousRank(environment, candidates, WATCHERS_PER_REGION) { it.vm.value }
    return watchers.any { it.vm == self }
}
