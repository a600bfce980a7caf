/*
 * Measures the memory held for clients that read slowly, and their effect on other requests.
 */
package org.toucanspur.bench.measure

import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.EntryClient
import org.toucanspur.bench.LocalCluster
import org.toucanspur.standin.EngineBehaviour

private const val SLOW_TOKENS = 800
private const val RECEIVE_BUFFER_BYTES = 4096
private const val FAST_CALLS = 100
private const val FAST_TOKENS = 8
private const val READ_PAUSE_MILLIS = 8000L
private const val CONNECT_BATCH_SIZE = 200
private const val SOCKET_TIMEOUT_MILLIS = 40_000
private const val READ_BUFFER_BYTES = 8192
private const val READER_THREADS = 128
private const val ENGINE_CAPACITY = 2048

/** `slow-readers`: clients that pause before reading and then read their complete responses. */
internal class SlowReadersMeasurement : Measurement {
    override val name = "slow-readers"

    // Separate threads keep blocking reads off the pools that the measured processes use.
    private val blockingDispatcher =
        Executors.newFixedThreadPool(READER_THREADS).asCoroutineDispatcher()

    override suspend fun run(options: Options): JsonObject {
        val readers = options.int("readers", 1000)
        val tokens = options.int("tokens", SLOW_TOKENS)
        val behaviour = EngineBehaviour(ENGINE_CAPACITY, tokenMillis = 0)
        val cluster = measurementCluster(engines = 3, behaviour)
        return EntryClient(ORGANISATION).use { client -> measure(cluster, client, readers, tokens) }
            .also { cluster.close() }
    }

    private suspend fun measure(
        cluster: LocalCluster,
        client: EntryClient,
        readers: Int,
        tokens: Int
    ): JsonObject {
        val entry = cluster.entries[0].url
        repeat(FAST_CALLS) { client.chat(entry, MODEL, "warm up $it", FAST_TOKENS) }
        val p99Before = fastP99(client, entry)
        System.gc()
        val heapBefore = usedHeapBytes()
        val rssBefore = residentSetBytes()
        val expectedLength = client.chat(entry, MODEL, "slow", tokens).body.length
        val sockets = withContext(blockingDispatcher) { openSlowRequests(entry, readers, tokens) }
        delay(READ_PAUSE_MILLIS)
        val heldBytes = cluster.agents.sumOf { it.node.processStatus().heldBytes }
        val p99During = fastP99(client, entry)
        System.gc()
        val heapAfter = usedHeapBytes()
        val rssAfter = residentSetBytes()
        println("held by the agents: $heldBytes bytes")
        println("heap grew by ${heapAfter - heapBefore}, RSS by ${rssAfter - rssBefore} bytes")
        val completeResponses = withContext(blockingDispatcher) { readAll(sockets, expectedLength) }
        cluster.entries[0].base.events.snapshot().filter {
            it.code == 506 || it.code == 504
        }.take(12).forEach { println("${it.code} ${it.message} ${it.requestId}") }
        return buildJsonObject {
            put("readers", readers)
            put("answerBytes", expectedLength)
            put("heldBytesPerReader", (heapAfter - heapBefore) / readers)
            put("peakHeldBytes", heapAfter - heapBefore)
            put("processRssBytes", rssAfter)
            put("wholeAnswers", completeResponses)
            put("fastP99Ratio", p99During.toDouble() / maxOf(1, p99Before))
        }
    }

    private suspend fun fastP99(client: EntryClient, entry: String): Long {
        val times =
            List(FAST_CALLS) { client.chat(entry, MODEL, "fast $it", FAST_TOKENS).elapsedMillis }
        return percentile(times, P99)
    }

    private suspend fun openSlowRequests(entry: String, readers: Int, tokens: Int): List<Socket> {
        val uri = URI(entry)
        return (0 until readers).chunked(CONNECT_BATCH_SIZE).flatMap { batch ->
            coroutineScope { batch.map { async { openSlowRequest(uri, tokens) } }.awaitAll() }
        }
    }

    private fun openSlowRequest(uri: URI, tokens: Int): Socket {
        val socket = Socket()
        socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
        socket.soTimeout = SOCKET_TIMEOUT_MILLIS
        socket.connect(InetSocketAddress(uri.host, uri.port))
        val body = """{"model":"$MODEL","stream":true,"max_tokens":$tokens,""" +
            """"messages":[{"role":"user","content":"slow"}]}"""
        val request = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
            "Toucanspur-Organisation: $ORGANISATION\r\nContent-Length: ${body.length}\r\n\r\n$body"
        socket.getOutputStream().write(request.encodeToByteArray())
        return socket
    }

    private suspend fun readAll(sockets: List<Socket>, expectedLength: Int): Int = coroutineScope {
        sockets.map { socket ->
            async { socket.use { isComplete(it.getInputStream(), expectedLength) } }
        }
            .awaitAll()
            .count { it }
    }

    private fun isComplete(input: InputStream, expectedLength: Int): Boolean {
        val tail = StringBuilder()
        val buffer = ByteArray(READ_BUFFER_BYTES)
        var total = 0
        try {
            while (true) {
                val count = input.read(buffer)
                if (count < 0) break
                total += count
                tail.append(String(buffer, 0, count, Charsets.ISO_8859_1))
                if (tail.length > READ_BUFFER_BYTES) tail.delete(0, tail.length - READ_BUFFER_BYTES)
            }
        } catch (_: IOException) {
            return false
        }
        return total > expectedLength && "data: [DONE]" in tail && tail.endsWith("0\r\n\r\n")
    }

    private fun usedHeapBytes(): Long =
        Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }

    private fun residentSetBytes(): Long = Files.readAllLines(Path.of("/proc/self/status"))
        .first { it.startsWith("VmRSS") }
        .filter(Char::isDigit)
        .toLong() * KIB
}
