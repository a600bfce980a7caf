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
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
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

private val testModel = ModelId("m")
private const val PIECE_COUNT = 4

/** Fake engine with one staging area; records the pieces that each order loads. */
private class FakeEngine : EngineControl {
    val stagedPieces = HashMap<Int, ByteArray>()
    val loadedPieces = mutableListOf<Pair<Long, List<String>>>()
    var reply = OrderReply.BEGUN

    /** Orders with a lower fencing number are refused. */
    var lowestFencingNumber = 0L
    var isUnreachable = false

    private suspend fun <T> respond(value: () -> T): Result<T, WeightFailure> {
        yield()
        return if (isUnreachable) {
            Err(WeightFailure.Transport(HttpFailure.NoResponse("down")))
        } else {
            Ok(value())
        }
    }

    /** Called with the index of a staged piece before it is read. */
    var onStagedRead: (Int) -> Unit = {}

    /** Called when an order is about to be sent. */
    var onOrder: () -> Unit = {}

    /** Whether an order is executed only after its sender has given up waiting for the reply. */
    var isOrderDelayed = false
    private var delayedOrder: LoadOrder? = null
    var ordersBegun = report.ordersBegun
    var startedAtMillis = report.startedAtMillis

    override suspend fun report() = respond {
        org.toucanspur.daemon.engine.report.copy(
            startedAtMillis = startedAtMillis,
            ordersBegun = ordersBegun
        )
    }

    override suspend fun stagedIndexes(model: ModelId) = respond { stagedPieces.keys.toSet() }

    override suspend fun staged(model: ModelId, index: Int) = respond {
        onStagedRead(index)
        stagedPieces[index]
    }

    override suspend fun stage(model: ModelId, index: Int, bytes: ByteArray) =
        respond<Unit> { stagedPieces[index] = bytes }

    override suspend fun load(
        order: LoadOrder,
        isStillValid: () -> Boolean
    ): Result<OrderReply, WeightFailure> {
        onOrder()
        return when {
            !isStillValid() -> Err(WeightFailure.Transport(HttpFailure.Outdated))
            isOrderDelayed -> {
                isOrderDelayed = false
                delayedOrder = order
                Err(WeightFailure.Transport(HttpFailure.NoResponse("silent")))
            }
            else -> respond { execute(order) }
        }
    }

    /** Executes the delayed order. */
    fun executeDelayed() = execute(checkNotNull(delayedOrder))

    private fun execute(order: LoadOrder): OrderReply {
        if (order.fencingNumber < lowestFencingNumber) return OrderReply.FENCED
        if (order.ordersExpected != ordersBegun) return OrderReply.CONFLICT
        if (reply == OrderReply.BEGUN) ordersBegun++
        loadedPieces +=
            order.version to stagedPieces.toSortedMap().values.map { it.decodeToString() }
        return reply
    }
}

/** Clocks of an agent that a test stops and continues. */
private class TestClocks : ClockPair {
    var nowMillis = 1_000L

    override fun now() = ClockReading(nowMillis, nowMillis)
}

private val report = EngineReport(emptyMap(), false, 0, 0, 0, 100, 1)

private fun piece(version: Long, index: Int) = "v$version/$index"

private fun PieceCache.addVersion(version: Long): VersionKey {
    val bytes = List(PIECE_COUNT) { piece(version, it).encodeToByteArray() }
    addManifest(PieceManifest(testModel, version, 8, bytes.map(::sha256)))
    val key = VersionKey(testModel, version)
    bytes.forEachIndexed { index, content -> put(key, index, content) shouldBe true }
    return key
}

class EngineLoaderTest :
    DescribeSpec({
        val log = DecisionLog(VmId("test"), PrintStream(ByteArrayOutputStream()))
        describe("a load order") {
            it("loads only verified pieces after staged ones were corrupted or lost") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                val loader = EngineLoader(engine, cache, log, TestClocks())
                runBlocking {
                    repeat(PIECE_COUNT) { loader.stageAhead(key, it) }
                    engine.stagedPieces[1] = "corrupt".encodeToByteArray()
                    engine.stagedPieces.remove(2)
                    loader.load(key, report) shouldBe true
                }
                engine.loadedPieces shouldBe listOf(2L to List(PIECE_COUNT) { piece(2, it) })
            }
            it("never mixes versions while the next one is staged concurrently") {
                val cache = PieceCache()
                val second = cache.addVersion(2)
                val third = cache.addVersion(3)
                val engine = FakeEngine()
                val loader = EngineLoader(engine, cache, log, TestClocks())
                runBlocking {
                    coroutineScope {
                        val loaded = async { loader.load(second, report) }
                        repeat(PIECE_COUNT) { index -> launch { loader.stageAhead(third, index) } }
                        loaded.await()
                    }
                    loader.load(third, report.copy(ordersBegun = engine.ordersBegun))
                }
                engine.loadedPieces shouldBe listOf(
                    2L to List(PIECE_COUNT) { piece(2, it) },
                    3L to List(PIECE_COUNT) { piece(3, it) }
                )
            }
            it("is not sent when the engine does not respond") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine().apply { isUnreachable = true }
                runBlocking {
                    EngineLoader(engine, cache, log, TestClocks()).load(key, report)
                } shouldBe
                    false
                engine.loadedPieces.shouldBeEmpty()
            }
            it("is retried with a higher number when a previous process had a later clock") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                engine.lowestFencingNumber = 2000
                val loader = EngineLoader(
                    engine,
                    cache,
                    log,
                    TestClocks(),
                    FencingNumberGenerator { 1000 }
                )
                runBlocking {
                    loader.load(key, report) shouldBe false
                    loader.load(key, report) shouldBe true
                }
            }
            it("is not sent when the engine restarts and loses staged pieces during verification") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                engine.onStagedRead = { index ->
                    if (index == 2 && engine.startedAtMillis == report.startedAtMillis) {
                        engine.stagedPieces.clear()
                        engine.startedAtMillis++
                    }
                }
                runBlocking {
                    EngineLoader(engine, cache, log, TestClocks()).load(key, report)
                } shouldBe
                    false
                engine.loadedPieces.shouldBeEmpty()
            }
            it("reports failure when the engine's state conflicts with the order") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine().apply { reply = OrderReply.CONFLICT }
                runBlocking {
                    EngineLoader(engine, cache, log, TestClocks()).load(key, report)
                } shouldBe
                    false
            }
        }
        // Guards against loading a piece that turned bad after it was verified: a load order was
        // sent however long ago the staged pieces had been read.
        describe("an agent that is stopped between verification and order") {
            val intact = listOf(2L to List(PIECE_COUNT) { piece(2, it) })

            it("verifies the pieces again that it read before the stop") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                val clocks = TestClocks()
                var isStopped = false
                engine.onStagedRead = { index ->
                    if (index == 2 && !isStopped && engine.stagedPieces.size == PIECE_COUNT) {
                        isStopped = true
                        clocks.nowMillis += 3_900
                        engine.stagedPieces[0] = "corrupt".encodeToByteArray()
                    }
                }
                val loader = EngineLoader(engine, cache, log, clocks)
                runBlocking {
                    repeat(PIECE_COUNT) { loader.stageAhead(key, it) }
                    loader.load(key, report) shouldBe true
                }
                isStopped shouldBe true
                engine.loadedPieces shouldBe intact
            }
            it("does not send the order after a stop at the last moment") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                val clocks = TestClocks()
                engine.onOrder = {
                    engine.onOrder = {}
                    clocks.nowMillis += 3_900
                    engine.stagedPieces[0] = "corrupt".encodeToByteArray()
                }
                val loader = EngineLoader(engine, cache, log, clocks)
                runBlocking {
                    loader.load(key, report) shouldBe false
                    engine.loadedPieces.shouldBeEmpty()
                    loader.load(key, report) shouldBe true
                }
                engine.loadedPieces shouldBe intact
            }
            it("gives up when the pieces cannot be verified in time") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine()
                val clocks = TestClocks()
                engine.onStagedRead = { clocks.nowMillis += 1_500 }
                val loader = EngineLoader(engine, cache, log, clocks)
                runBlocking { loader.load(key, report) } shouldBe false
                engine.loadedPieces.shouldBeEmpty()
            }
        }
        // Guards against mixing versions: an order without a reply may be executed seconds later,
        // when pieces of the next version are staged already.
        describe("an order without a reply") {
            it("keeps other versions from being staged until the engine has begun it") {
                val cache = PieceCache()
                val second = cache.addVersion(2)
                val third = cache.addVersion(3)
                val engine = FakeEngine().apply { isOrderDelayed = true }
                val loader = EngineLoader(engine, cache, log, TestClocks())
                runBlocking {
                    loader.load(second, report) shouldBe false
                    loader.stageAhead(third, 0)
                    engine.executeDelayed()
                    loader.settleOrder()
                    loader.load(third, report.copy(ordersBegun = engine.ordersBegun)) shouldBe true
                }
                engine.loadedPieces shouldBe listOf(
                    2L to List(PIECE_COUNT) { piece(2, it) },
                    3L to List(PIECE_COUNT) { piece(3, it) }
                )
            }
            it("is sent again before another version is loaded") {
                val cache = PieceCache()
                val second = cache.addVersion(2)
                val third = cache.addVersion(3)
                val engine = FakeEngine().apply { isOrderDelayed = true }
                val loader = EngineLoader(engine, cache, log, TestClocks())
                runBlocking {
                    loader.load(second, report) shouldBe false
                    loader.load(third, report) shouldBe true
                }
                engine.executeDelayed() shouldBe OrderReply.CONFLICT
                engine.loadedPieces shouldBe listOf(2L to List(PIECE_COUNT) { piece(2, it) })
            }
            it("leaves a load in doubt when a piece was corrupt by the time it was executed") {
                val cache = PieceCache()
                val key = cache.addVersion(2)
                val engine = FakeEngine().apply { isOrderDelayed = true }
                val loader = EngineLoader(engine, cache, log, TestClocks())
                runBlocking {
                    loader.load(key, report) shouldBe false
                    engine.stagedPieces[0] = "corrupt".encodeToByteArray()
                    engine.executeDelayed()
                    val next = report.copy(
                        ordersBegun = engine.ordersBegun,
                        loadedVersions = mapOf(testModel to 2L)
                    )
                    loader.isLoadInDoubt(next) shouldBe false
                    loader.settleOrder()
                    loader.isLoadInDoubt(next) shouldBe true
                    loader.isLoadInDoubt(
                        next.copy(loadedVersions = mapOf(testModel to 3L))
                    ) shouldBe false
                    loader.isLoadInDoubt(
                        next.copy(startedAtMillis = next.startedAtMillis + 1)
                    ) shouldBe false
                }
            }
        }
        describe("a restarted agent") {
            it("recovers the staged pieces that match the version's manifest, and no others") {
                val cache = PieceCache()
                val bytes = List(PIECE_COUNT) { piece(2, it).encodeToByteArray() }
                cache.addManifest(PieceManifest(testModel, 2, 8, bytes.map(::sha256)))
                val engine = FakeEngine()
                engine.stagedPieces[0] = bytes[0]
                engine.stagedPieces[1] = piece(1, 1).encodeToByteArray()
                val key = VersionKey(testModel, 2)
                runBlocking {
                    EngineLoader(engine, cache, log, TestClocks()).recoverStaged(key)
                } shouldBe
                    1
                cache.heldIndexes(key) shouldBe listOf(0)
            }
        }
    })
