package org.toucanspur.daemon.net

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.awaitCancellation

private const val WAIT_SECONDS = 20L

class NettyEventLoopTest :
    DescribeSpec({
        describe("a task that fails") {
            val failures = LinkedBlockingQueue<String>()
            val loop = NettyEventLoop { task, cause -> failures += "$task: ${cause.message}" }
            fun nextFailure() = failures.poll(WAIT_SECONDS, TimeUnit.SECONDS)

            it("is reported and runs again if it is repeated") {
                val runs = CountDownLatch(3)
                val task = loop.scheduleRepeating("timer", 1) {
                    runs.countDown()
                    throw StackOverflowError("deep")
                }
                runs.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                task.cancel(false)
                // The last run may still be reporting its failure, which the next test would get.
                loop.executor.submit {}.get()
                nextFailure() shouldBe "timer: deep"
            }
            it("is reported and runs again if it is supervised") {
                failures.clear()
                var runs = 0
                val isRunning = CountDownLatch(1)
                val job = loop.supervise("watch") {
                    check(runs++ > 0) { "first" }
                    isRunning.countDown()
                    awaitCancellation()
                }
                isRunning.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                nextFailure() shouldBe "watch: first"
                job.cancel()
                failures.size shouldBe 0
            }
            it("is reported and ends if it runs once") {
                failures.clear()
                val job = loop.launch("query") { error("once") }
                nextFailure() shouldBe "query: once"
                job.join()
            }
        }
        describe("a closed event loop") {
            it("runs no task any more, so that a closed process calls nobody") {
                val loop = NettyEventLoop()
                val isRunning = CountDownLatch(1)
                var isCancelled = false
                loop.supervise("watch") {
                    isRunning.countDown()
                    try {
                        awaitCancellation()
                    } finally {
                        isCancelled = true
                    }
                }
                isRunning.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                loop.close()
                isCancelled shouldBe true
                loop.executor.isTerminated shouldBe true
            }
        }
    })
