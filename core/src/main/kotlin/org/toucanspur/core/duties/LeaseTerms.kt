/*
 * Times that the lease for duties depends on.
 */
package org.toucanspur.core.duties

/** Times derived from the duration of the lease and the slack after a freeze. */
class LeaseTerms(val leaseMillis: Long, thawSlackMillis: Long) {
    /**
     * Subtracted from the validity of the holder and added to the wait of a candidate. It covers
     * the time until a reset takes effect, packets that are on their way, and different clock
     * rates. Candidates and holder are twice this time apart.
     */
    val marginMillis: Long = maxOf(thawSlackMillis, leaseMillis / MARGIN_DIVISOR)

    /** Time from the start of a renewal for which the holder may act. */
    val validMillis: Long get() = leaseMillis - marginMillis

    /** Time for which a candidate must have observed the same object before it takes over. */
    val takeOverMillis: Long get() = leaseMillis + marginMillis

    /** Time for which an unreadable object must have stayed unchanged before it is replaced. */
    val unreadableMillis: Long get() = leaseMillis * UNREADABLE_LEASES

    /** Interval of renewals; two attempts fit into the validity after one has failed. */
    val renewalMillis: Long get() = leaseMillis / RENEWAL_DIVISOR

    /** Interval at which candidates read the object. */
    val readMillis: Long get() = leaseMillis / 2

    /** Longest random delay of a take-over, so that candidates do not all write at once. */
    val jitterMillis: Long get() = leaseMillis / JITTER_DIVISOR

    /** Difference between the clocks from which on a suspension or a clock step is assumed. */
    val clockToleranceMillis: Long get() = marginMillis / 2

    private companion object {
        const val MARGIN_DIVISOR = 10
        const val UNREADABLE_LEASES = 10
        const val RENEWAL_DIVISOR = 3
        const val JITTER_DIVISOR = 6
    }
}
