package org.toucanspur.daemon.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.weights.EngineControl
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.core.weights.FencingNumberGenerator
import org.toucanspur.core.weights.LoadOrder
import org.toucanspur.core.weights.OrderReply
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.WeightFailure
import org.toucanspur.core.weights.sha256
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.VmId

private val m = ModelId("m")
private const val PIECES = 4

/** An engine with one staged copy, which notes what it loads. */
private class FakeEngine : EngineControl {
    val copy = HashMap<Int, ByteArray>()
    val loads = mutableListOf<Pair<Long, List<String>>>()
    var reply = OrderReply.BEGUN

    /** Lowest number of an order that the engine takes. */
    var fence = 0L
    var isDown = false

    private suspend fun <T> answer(value: () -> T): Result<T, WeightFailure> {
        yield()
        return if (isDown) {
            Err(WeightFailure.Transport(HttpFailure.NoAnswer("down")))
        } else {
            Ok(value())
        }
    }

    /** Runs at each reading of a staged piece. */
    var onRead: (Int) -> Unit = {}
    var startedAtMillis = report.startedAtMillis

    override suspend fun report() = answer {
        org.toucanspur.daemon.engine.report.copy(startedAtMillis = startedAtMillis)
    }

    override suspend fun stagedIndexes(model: ModelId) = answer { copy.keys.toSet() }

    override suspend fun staged(model: ModelId, index: Int) = answer {
        onRead(index)
        copy[index]
    }

    override suspend fun stage(model: ModelId, index: Int, bytes: ByteArray) =
        answer<Unit> { copy[index] = bytes }

    override suspend fun load(order: LoadOrder) = answer {
        if (order.fencingNumber < fence) return@answer OrderReply.FENCED
        loads += order.version to copy.toSortedMap().values.map { it.decodeToString() }
        reply
    }
}

private val report = EngineReport(emptyMap(), false, 0, 0, 0, 100, 1)

private fun piece(version: Long, index: Int) = "v$version/$index"

private fun PieceLibrary.fill(version: Long): VersionKey {
    val bytes = List(PIECES) { piece(version, it).encodeToByteArray() }
    add(PieceManifest(m, version, 8, bytes.map(::sha256)))
    val key = VersionKey(m, version)
    bytes.forEachIndexed { index, content -> put(key, index, content) shouldBe true }
    return key
}

class EngineLoaderTest :
    DescribeSpec({
        val log = DecisionLog(VmId("test"), PrintStream(ByteArrayOutputStream()))
        describe("a load order") {
            it("is given for pieces that were checked, also when staged ones are spoilt") {
                val library = PieceLibrary()
                val key = library.fill(2)
                val engine = FakeEngine()
                val loader = EngineLoader(engine, library, log)
                runBlocking {
                    repeat(PIECES) { loader.stageAhead(key, it) }
                    engine.copy[1] = "rotten".encodeToByteArray()
                    engine.copy.remove(2)
                    loader.load(key, report) shouldBe true
                }
                engine.loads shouldBe listOf(2L to List(PIECES) { piece(2, it) })
            }
            it("never mixes versions while the next one is being staged") {
                val library = PieceLibrary()
                val second = library.fill(2)
                val third = library.fill(3)
                val engine = FakeEngine()
                val loader = EngineLoader(engine, library, log)
                runBlocking {
                    coroutineScope {
                        val loaded = async { loader.load(second, report) }
                        repeat(PIECES) { index -> launch { loader.stageAhead(third, index) } }
                        loaded.await()
                    }
                    loader.load(third, report)
                }
                engine.loads shouldBe listOf(
                    2L to List(PIECES) { piece(2, it) },
                    3L to List(PIECES) { piece(3, it) }
                )
            }
            it("is not given when the engine does not answer") {
                val library = PieceLibrary()
                val key = library.fill(2)
                val engine = FakeEngine().apply { isDown = true }
                runBlocking { EngineLoader(engine, library, log).load(key, report) } shouldBe false
                engine.loads.shouldBeEmpty()
            }
            it("is given again above the number of a former life with a later clock") {
                val library = PieceLibrary()
                val key = library.fill(2)
                val engine = FakeEngine()
                engine.fence = 2000
                val loader = EngineLoader(engine, library, log, FencingNumberGenerator { 1000 })
                runBlocking {
                    loader.load(key, report) shouldBe false
                    loader.load(key, report) shouldBe true
                }
            }
            it("is not given when the engine lost its copy in the middle of the check") {
                val library = PieceLibrary()
                val key = library.fill(2)
                val engine = FakeEngine()
                engine.onRead = { index ->
                    if (index == 2 && engine.startedAtMillis == report.startedAtMillis) {
                        engine.copy.clear()
                        engine.startedAtMillis++
                    }
                }
                runBlocking { EngineLoader(engine, library, log).load(key, report) } shouldBe false
                engine.loads.shouldBeEmpty()
            }
            it("tells when the engine's state has changed") {
                val library = PieceLibrary()
                val key = library.fill(2)
                val engine = FakeEngine().apply { reply = OrderReply.CONFLICT }
                runBlocking { EngineLoader(engine, library, log).load(key, report) } shouldBe false
            }
        }
        describe("an agent that starts again") {
            it("takes over the staged pieces that belong to the version, and no others") {
                val library = PieceLibrary()
                val bytes = List(PIECES) { piece(2, it).encodeToByteArray() }
                library.add(PieceManifest(m, 2, 8, bytes.map(::sha256)))
                val engine = FakeEngine()
                engine.copy[0] = bytes[0]
                engine.copy[1] = piece(1, 1).encodeToByteArray()
                val key = VersionKey(m, 2)
                runBlocking { EngineLoader(engine, library, log).recover(key) } shouldBe 1
                library.held(key) shouldBe listOf(0)
            }
        }
    })
