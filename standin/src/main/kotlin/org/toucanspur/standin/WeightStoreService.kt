/*
 * Stand-in for the weight store, with a limited transfer rate.
 */
package org.toucanspur.standin

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.delay
import org.toucanspur.core.weights.TransferPacer
import org.toucanspur.schema.ChunkDigest

private const val NANOS_PER_MILLI = 1_000_000L

/** Serves blobs at [bytesPerSecond]; [seed] selects which of them are corrupted. */
class WeightStoreService(bytesPerSecond: Long, seed: Int = 1) {
    private val releases = ConcurrentHashMap.newKeySet<SyntheticRelease>()
    private val pacer = TransferPacer(bytesPerSecond)
    private val random = Random(seed)
    private val server = StandInServer { get("/blobs/{digest}") { serve(call) } }

    /** Number of bytes served. */
    val servedBytes = AtomicLong(0)

    /** Fraction of blobs that are served corrupted. */
    @Volatile
    var corruptShare = 0.0

    /** Whether all calls fail with status 503. */
    @Volatile
    var isDown = false

    /** Base URL. */
    val url: String get() = server.url

    /** Starts listening. */
    suspend fun start() = server.start()

    /** Stops listening. */
    fun stop() = server.stop()

    /** Publishes a release. */
    fun publish(release: SyntheticRelease) {
        releases += release
    }

    private suspend fun serve(call: ApplicationCall) {
        val digest = ChunkDigest(call.parameters["digest"].orEmpty())
        val bytes = releases.firstNotNullOfOrNull { it.blob(digest) }
        when {
            isDown -> call.respondText("down\n", status = HttpStatusCode.ServiceUnavailable)
            bytes == null -> call.respondText("no such blob\n", status = HttpStatusCode.NotFound)
            else -> {
                throttle(bytes.size)
                servedBytes.addAndGet(bytes.size.toLong())
                call.respondBytes(maybeCorrupt(bytes))
            }
        }
    }

    private suspend fun throttle(bytes: Int) {
        val waitMillis = synchronized(pacer) {
            pacer.reserve(
                bytes,
                System.nanoTime() / NANOS_PER_MILLI
            )
        }
        if (waitMillis > 0) delay(waitMillis)
    }

    private fun maybeCorrupt(bytes: ByteArray): ByteArray {
        val isCorrupt = synchronized(random) { random.nextDouble() < corruptShare }
        if (!isCorrupt) return bytes
        return bytes.copyOf().also { it[0] = (it[0] + 1).toByte() }
    }
}
