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
        val results = flows.associateWith(::runMatrix)
        flows.forEach { flow ->
            describe("the flow of ${flow.name}") {
                it("holds its invariants without faults") {
                    flow.run(emptyList()).shouldBeEmpty()
                }
                it(
                    "holds its invariants under every fault at every step, alone, twice and in pairs"
                ) {
                    results.getValue(flow)
                        .filter { it.violations.isNotEmpty() }
                        .joinToString("\n") { "${it.injections}: ${it.violations}" } shouldBe ""
                }
            }
        }
        describe("docs/FAULTS.md") {
            it("is what this run yields") {
                val text = faultsDocument(results)
                Files.createDirectories(Path.of("target"))
                Files.writeString(Path.of("target/FAULTS.md"), text)
                Files.readString(Path.of("../docs/FAULTS.md")) shouldBe text
            }
        }
    })
