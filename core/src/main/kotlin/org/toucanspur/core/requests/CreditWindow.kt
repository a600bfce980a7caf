/*
 * Flow control of one answer: the sender may send up to an offset that the receiver raises.
 */
package org.toucanspur.core.requests

import java.util.concurrent.atomic.AtomicLong

/** The sender's side of a window. Safe for use by several threads. */
class CreditWindow(initialBytes: Long) {
    private val until = AtomicLong(initialBytes)
    private val sent = AtomicLong(0)

    /** Raises the limit; a late or doubled grant with a lower offset has no effect. */
    fun grant(untilOffset: Long) {
        until.accumulateAndGet(untilOffset, ::maxOf)
    }

    /** Takes the right to send up to [wanted] bytes; returns how many may be sent now. */
    fun take(wanted: Int): Int {
        while (true) {
            val before = sent.get()
            val allowed = minOf(wanted.toLong(), until.get() - before).toInt()
            if (allowed <= 0) return 0
            if (sent.compareAndSet(before, before + allowed)) return allowed
        }
    }
}
