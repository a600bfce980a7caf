/*
 * Stand-in for the platform's origin of weights: versions of one model in pieces that follow from
 * the number of the version.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import kotlin.random.Random
import org.toucanspur.core.weights.sha256

private const val PIECE_BYTES = 2048

/** Number of pieces of each version. */
const val PIECES = 24

/** The piece of [version] at [index]. */
fun weightPiece(version: Long, index: Int): ByteArray =
    Random(version * PIECES + index).nextBytes(PIECE_BYTES)

/** The origin of [model]. */
class OriginService(private val model: String) : LoopbackService() {
    /** Whether all calls are turned away. */
    @Volatile
    var isDown = false

    init {
        handle("/v1/manifest/", ::manifest)
        handle("/v1/piece/", ::piece)
        listen()
    }

    private fun manifest(exchange: HttpExchange) {
        if (isDown) return exchange.answer(UNAVAILABLE, ByteArray(0))
        val version = exchange.queryValue("version")?.toLong() ?: 1
        val digests = List(PIECES) { "\"${sha256(weightPiece(version, it))}\"" }
        val text = """{"model":"$model","version":$version,"chunk-bytes":$PIECE_BYTES,""" +
            """"layers":1,"digests":$digests}"""
        exchange.answer(OK, text.encodeToByteArray(), "Content-Type" to "application/json")
    }

    private fun piece(exchange: HttpExchange) {
        if (isDown) return exchange.answer(UNAVAILABLE, ByteArray(0))
        val version = exchange.queryValue("version")?.toLong() ?: 1
        val index = exchange.queryValue("number")?.toInt() ?: 0
        exchange.answer(OK, weightPiece(version, index))
    }
}
