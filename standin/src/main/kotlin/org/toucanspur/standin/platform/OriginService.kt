/*
 * Stand-in for the platform's weight origin: versions of one model, in pieces whose bytes are
 * generated from the version number.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.toucanspur.core.weights.sha256

private const val PIECE_BYTES = 2048

/** Number of pieces in each version. */
const val PIECES = 24

/** Bytes of the piece at [index] of [version]. */
fun weightPiece(version: Long, index: Int): ByteArray =
    Random(version * PIECES + index).nextBytes(PIECE_BYTES)

/**
 * Weight origin of [model]. One in [corruptOneIn] of its manifests, and as many of its pieces, are
 * corrupt, beginning with the first; null for none.
 */
class OriginService(private val model: String, private val corruptOneIn: Int? = null) :
    LoopbackService() {
    private val manifests = AtomicInteger()
    private val pieces = AtomicInteger()

    /** Whether all calls are rejected with status 503. */
    @Volatile
    var isDown = false

    init {
        handle("/v1/manifest/", ::manifest)
        handle("/v1/piece/", ::piece)
        listen()
    }

    private fun manifest(exchange: HttpExchange) {
        if (isDown) return exchange.respond(UNAVAILABLE, ByteArray(0))
        val version = exchange.queryValue("version")?.toLong() ?: 1
        val sound = List(PIECES) { sha256(weightPiece(version, it)) }
        val number = manifests.getAndIncrement()
        val digests = if (isCorrupt(number)) corrupt(sound, number) else sound
        val text = """{"model":"$model","version":$version,"chunk-bytes":$PIECE_BYTES,""" +
            """"layers":1,"digests":${digests.map { "\"$it\"" }}}"""
        exchange.respond(OK, text.encodeToByteArray(), "Content-Type" to "application/json")
    }

    private fun piece(exchange: HttpExchange) {
        if (isDown) return exchange.respond(UNAVAILABLE, ByteArray(0))
        val version = exchange.queryValue("version")?.toLong() ?: 1
        val index = exchange.queryValue("number")?.toInt() ?: 0
        val bytes = weightPiece(version, index)
        val number = pieces.getAndIncrement()
        if (isCorrupt(number)) bytes[number % PIECE_BYTES]++
        exchange.respond(OK, bytes)
    }

    private fun isCorrupt(number: Int) = corruptOneIn != null && number % corruptOneIn == 0

    // Takes turns with one wrong digit, a digest that stands twice, and one that is missing.
    private fun corrupt(digests: List<String>, number: Int): List<String> {
        val index = number % digests.size
        val digest = digests[index]
        return when (number % CORRUPTIONS) {
            0 -> digests.withDigest(index, (if (digest[0] == '0') "1" else "0") + digest.drop(1))
            1 -> digests.withDigest(index, digests[(index + 1) % digests.size])
            else -> digests.dropLast(1)
        }
    }

    private fun List<String>.withDigest(index: Int, digest: String) =
        toMutableList().also { it[index] = digest }

    private companion object {
        const val CORRUPTIONS = 3
    }
}
