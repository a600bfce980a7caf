package org.toucanspur.bench.endtoend

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.standin.ObjectApiFault

class ReleaseFaultsTest :
    DescribeSpec({
        val fixture = ClusterFixture()
        beforeSpec {
            fixture.cluster.weightStore.corruptShare = 0.2
            fixture.start()
        }
        afterSpec { fixture.close() }

        fun mixed(): Int = fixture.engines.sumOf { checkNotNull(it.engine).inconsistentLoads.get() }

        describe("a release") {
            it("reaches all endpoints although the weight store serves corrupt chunks") {
                mixed() shouldBe 0
            }
            it(
                "stays away from endpoints whose engines fail to load it, and the previous one serves"
            ) {
                fixture.engines.forEach {
                    checkNotNull(it.engine).badRelease =
                        fixture.second.digest.value
                }
                fixture.publish(fixture.document(fixture.second))
                fixture.eventually {
                    fixture.engines.any { it.node.processStatus().rolloutStopped }
                }
                fixture.awaitServing(fixture.first)
                fixture.engines.forEach { checkNotNull(it.engine).badRelease = null }
            }
            it("returns to the earlier one by a new revision") {
                fixture.publish(fixture.document(fixture.first))
                fixture.awaitServing(fixture.first)
            }
            it("is loaded again after an engine has lost it") {
                val engine = checkNotNull(fixture.engines.first().engine)
                engine.crash()
                fixture.eventually { engine.loaded == fixture.first.digest.value }
                fixture.awaitServing(fixture.first)
                mixed() shouldBe 0
            }
        }
        describe("a document") {
            it("stays in force while the object API is down") {
                val revision = fixture.cluster.entries.first().base.revision
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val answer = fixture.callers.chat(fixture.entryOne, "writer", "hello", 5)
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                answer.isOk shouldBe true
                fixture.cluster.entries.first().base.revision shouldBe revision
            }
            it("reaches an agent that starts while the object API is down") {
                val agent = fixture.services.first()
                agent.node.close()
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                fixture.cluster.startAgent(agent)
                fixture.eventually {
                    agent.base.revision ==
                        fixture.cluster.entries.first().base.revision
                }
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                fixture.awaitAllEndpoints()
            }
        }
    })
