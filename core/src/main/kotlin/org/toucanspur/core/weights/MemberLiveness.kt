/*
 * Tracks which members of a region take part in an exchange. Imports assigned to a VM that has
 * failed, or is listed but not started yet, are not carried out.
 */
package org.toucanspur.core.weights

import org.toucanspur.schema.VmId

/**
 * Liveness of the members as seen by [self]. A member without messages for [silenceMillis] counts
 * as absent; 0 disables the check.
 */
internal class MemberLiveness(
    private val self: VmId,
    private val silenceMillis: Long,
    private val startMillis: Long
) {
    private var listed: Collection<VmId> = emptyList()
    private val lastMessageMillis = HashMap<VmId, Long>()

    /** Sets the members listed by the platform. */
    fun setListed(vms: Collection<VmId>) {
        listed = vms
    }

    /** Records a message from [vm]. */
    fun onMessage(vm: VmId, nowMillis: Long) {
        lastMessageMillis[vm] = nowMillis
    }

    /** Listed members that are not silent. */
    fun present(nowMillis: Long): List<VmId> = listed.filterNot { isSilent(it, nowMillis) }

    /** Removes and returns members that have sent messages before and are silent now. */
    fun removeSilent(nowMillis: Long): List<VmId> =
        lastMessageMillis.keys.filter { isSilent(it, nowMillis) }.onEach(lastMessageMillis::remove)

    private fun isSilent(vm: VmId, nowMillis: Long): Boolean = silenceMillis > 0 &&
        vm != self &&
        nowMillis - (lastMessageMillis[vm] ?: startMillis) >= silenceMillis
}
