/*
 * Random numbers that an explanation does not use up: with a fixed seed, the choices for requests
 * are the same whether or not somebody asks for an explanation between them.
 */
package org.toucanspur.daemon.gateway

import kotlin.random.Random

/** Passes on the numbers of [shared], except in [detached]. Not thread-safe. */
class DetachableRandom(private val shared: Random) : Random() {
    private var isDetached = false

    override fun nextBits(bitCount: Int): Int =
        if (isDetached) Default.nextBits(bitCount) else shared.nextBits(bitCount)

    /** Runs [action] with other random numbers. */
    fun <T> detached(action: () -> T): T {
        val before = isDetached
        isDetached = true
        try {
            return action()
        } finally {
            isDetached = before
        }
    }
}
