/*
 * Which members of a region take part in an exchange. Load pattern: a VM that died, or that is
 * listed and has not started yet, has duties that nobody fulfils.
 */
package org.toucanspur.core.weights

import org.toucanspur.schema.VmId

/** Members as [self] sees them; one that is silent for [silenceMillis] is absent, 0 for never. */
internal class Presence(
    private val self: VmId,
    private val silenceMillis: Long,
    private val startMillis: Long
) {
    private var listed: Collection<VmId> = emptyList()
    private val heard = HashMap<VmId, Long>()

    /** Sets the members that the platform lists. */
    fun setListed(vms: Collection<VmId>) {
        listed = vms
    }

    /** Notes a word of [vm]. */
    fun onHeard(vm: VmId, nowMillis: Long) {
        heard[vm] = nowMillis
    }

    /** Listed members that are not silent. */
    fun present(nowMillis: Long): List<VmId> = listed.filterNot { isSilent(it, nowMillis) }

    /** Members that spoke once and are silent now; each is returned once. */
    fun takeSilent(nowMillis: Long): List<VmId> =
        heard.keys.filter { isSilent(it, nowMillis) }.onEach(heard::remove)

    private fun isSilent(vm: VmId, nowMillis: Long): Boolean = silenceMillis > 0 &&
        vm != self &&
        nowMillis - (heard[vm] ?: startMillis) >= silenceMillis
}
