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

        fun inconsistentLoads(): Int = fixture.engines.sumOf {
            checkNotNull(it.engine).inconsistentLoads.get()
        }

        describe("a release") {
            it("reaches all endpoints when the weight store serves corrupt chunks") {
                inconsistentLoads() shouldBe 0
            }
            it(
                "stops its rollout when engines fail to load it, and the previous one serves"
            ) {
                fixture.engines.forEach {
                    checkNotNull(it.engine).badRelease =
                        fixture.secondRelease.digest.value
                }
                fixture.publish(fixture.document(fixture.secondRelease))
                fixture.eventually {
                    fixture.engines.any { it.node.processStatus().rolloutStopped }
                }
                fixture.awaitServing(fixture.firstRelease)
                fixture.engines.forEach { checkNotNull(it.engine).badRelease = null }
            }
            it("is replaced by an earlier one in a new revision") {
                fixture.publish(fixture.document(fixture.firstRelease))
                fixture.awaitServing(fixture.firstRelease)
            }
            it("is loaded again after its engine crashes") {
                val engine = checkNotNull(fixture.engines.first().engine)
                engine.crash()
                fixture.eventually { engine.loaded == fixture.firstRelease.digest.value }
                fixture.awaitServing(fixture.firstRelease)
                inconsistentLoads() shouldBe 0
            }
        }
        describe("a configuration document") {
            it("stays in force while the object API is down") {
                val revision = fixture.cluster.entries.first().base.revision
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val response = fixture.callers.chat(fixture.entryOne, "writer", "hello", 5)
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                response.isOk shouldBe true
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
