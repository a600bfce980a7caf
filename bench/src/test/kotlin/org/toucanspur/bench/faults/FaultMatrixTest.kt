package org.toucanspur.bench.faults

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

private val flows = listOf(
    OrderFlow(honoursFencing = true),
    OrderFlow(honoursFencing = false),
    AtMostOnceRequestFlow(),
    ExchangeFlow(),
    RolloutFlow(),
    StreamFlow(),
    AdmissionFlow(),
    ConfigurationFlow(),
    MembershipFlow()
)

class FaultMatrixTest :
    DescribeSpec({
        val cellsByFlow = flows.associateWith(::runMatrix)
        flows.forEach { flow ->
            describe("the flow ${flow.name}") {
                it("keeps its invariants without faults") {
                    flow.run(emptyList()).shouldBeEmpty()
                }
                it(
                    "keeps its invariants with every fault at every step, once, twice and in pairs"
                ) {
                    cellsByFlow.getValue(flow)
                        .filter { it.violations.isNotEmpty() }
                        .joinToString("\n") { "${it.injections}: ${it.violations}" } shouldBe ""
                }
            }
        }
        describe("docs/FAULTS.md") {
            it("matches the results of this run") {
                val document = faultsDocument(cellsByFlow)
                Files.createDirectories(Path.of("target"))
                Files.writeString(Path.of("target/FAULTS.md"), document)
                Files.readString(Path.of("../docs/FAULTS.md")) shouldBe document
            }
        }
    })
