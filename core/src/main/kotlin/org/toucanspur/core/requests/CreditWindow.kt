/*
 * Credit-based flow control of one response: the sender may send up to an offset that the receiver
 * advances.
 */
package org.toucanspur.core.requests

import java.util.concurrent.atomic.AtomicLong

/** Sender side of a flow-control window. Thread-safe. */
class CreditWindow(initialBytes: Long) {
    private val until = AtomicLong(initialBytes)
    private val sent = AtomicLong(0)

    /** Advances the limit; a late or duplicate grant with a lower offset has no effect. */
    fun grant(untilOffset: Long) {
        until.accumulateAndGet(untilOffset, ::maxOf)
    }

    /** Reserves credit for up to [wanted] bytes and returns how many bytes may be sent now. */
    fun take(wanted: Int): Int {
        while (true) {
            val before = sent.get()
            val allowed = minOf(wanted.toLong(), until.get() - before).toInt()
            if (allowed <= 0) return 0
            if (sent.compareAndSet(before, before + allowed)) return allowed
        }
    }
}
