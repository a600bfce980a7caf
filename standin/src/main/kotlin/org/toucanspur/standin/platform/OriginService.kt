/*
 * Stand-in for the platform's weight origin: versions of one model, in pieces whose bytes are
 * generated from the version number.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import kotlin.random.Random
import org.toucanspur.core.weights.sha256

private const val PIECE_BYTES = 2048

/** Number of pieces in each version. */
const val PIECES = 24

/** Bytes of the piece at [index] of [version]. */
fun weightPiece(version: Long, index: Int): ByteArray =
    Random(version * PIECES + index).nextBytes(PIECE_BYTES)

/** Weight origin of [model]. */
class OriginService(private val model: String) : LoopbackService() {
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
        val digests = List(PIECES) { "\"${sha256(weightPiece(version, it))}\"" }
        val text = """{"model":"$model","version":$version,"chunk-bytes":$PIECE_BYTES,""" +
            """"layers":1,"digests":$digests}"""
        exchange.respond(OK, text.encodeToByteArray(), "Content-Type" to "application/json")
    }

    private fun piece(exchange: HttpExchange) {
        if (isDown) return exchange.respond(UNAVAILABLE, ByteArray(0))
        val version = exchange.queryValue("version")?.toLong() ?: 1
        val index = exchange.queryValue("number")?.toInt() ?: 0
        exchange.respond(OK, weightPiece(version, index))
    }
}
