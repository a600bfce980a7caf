/*
 * Selects the few processes per region that watch the object API. The other processes learn of a
 * new revision from heartbeats, so the number of calls to the object API does not grow with the
 * number of VMs.
 */
package org.toucanspur.core.membership

import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmState

/** Number of watching processes per region. */
const val WATCHERS_PER_REGION = 3

/** Whether [self] watches the object API according to the VM list; false if it is not listed. */
fun isWatcher(self: VmId, environment: String, vms: List<VmRecord>): Boolean {
    val own = vms.find { it.vm == self } ?: return false
    val candidates = vms.filter { it.region == own.region && it.state == VmState.LIVE }
    val watchers = rendezvousRank(environment, candidates, WATCHERS_PER_REGION) { it.vm.value }
    return watchers.any { it.vm == self }
}
