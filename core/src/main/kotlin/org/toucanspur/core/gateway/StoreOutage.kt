/*
 * A time in which an entry cannot reach the store. The end of an outage is seen only with the next
 * response, and a call without a response proves only that the store was unreachable at its start.
 */
package org.toucanspur.core.gateway

/**
 * An outage from [startMillis] on that ended between [knownUntilMillis], when the store was last
 * seen to be unreachable, and [endMillis]; on the monotonic clock.
 */
data class StoreOutage(val startMillis: Long, val knownUntilMillis: Long, val endMillis: Long) {
    /** Time from the start to the response that ended the outage. */
    val lengthMillis: Long get() = endMillis - startMillis
}
