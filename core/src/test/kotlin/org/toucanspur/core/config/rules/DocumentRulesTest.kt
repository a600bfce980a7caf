package org.toucanspur.core.config.rules

import com.github.michaelbull.result.fold
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.toucanspur.core.config.checkDocument
import org.toucanspur.core.config.validDocument

private fun findings(before: String, after: String): List<String> =
    checkDocument("trial.ini", validDocument.replace(before, after))
        .fold({ it.warnings }, { it })
        .map { it.render() }

class DocumentRulesTest :
    DescribeSpec({
        describe("PoolZonesExistRule") {
            it("reports an undeclared availability zone") {
                findings("zones = a, b", "zones = a, c") shouldContainExactly listOf(
                    "trial.ini:13: availability zone \"c\" of pool \"writers\" is not declared; " +
                        "add [zone c] or remove it here"
                )
            }
        }
        describe("EnginePoolNamesModelRule") {
            it("reports an undeclared model") {
                findings("model = writer", "model = poet") shouldContainExactly listOf(
                    "trial.ini:12: pool \"writers\" names model \"poet\", which is not declared; " +
                        "add [model poet] or name one of: writer"
                )
            }
        }
        describe("ServicePoolExistsRule") {
            it("reports a service with an engine pool") {
                findings("pool = desks", "pool = writers") shouldContainExactly listOf(
                    "trial.ini:23: service \"slots\" names pool \"writers\" of kind engine; " +
                        "name a pool of kind service"
                )
            }
        }
        describe("ColdLimitBelowWarmLimitRule") {
            it("reports a cold limit above the warm limit") {
                findings(
                    "concurrent-max = 8",
                    "concurrent-max = 8\ncold-concurrent = 9"
                ) shouldContainExactly
                    listOf(
                        "trial.ini:16: cold-concurrent 9 exceeds concurrent-max 8; lower it to 8 or less"
                    )
            }
        }
        describe("UnavailableLimitFitsPoolRule") {
            it("reports a limit that allows all endpoints of a pool to stop") {
                findings(
                    "order-check = yes",
                    "order-check = yes\nunavailable-max = 2"
                ) shouldContainExactly
                    listOf(
                        "trial.ini:17: unavailable-max 2 in 2 availability zones may stop all 4 " +
                            "endpoints of pool \"writers\" at once; lower it"
                    )
            }
        }
        describe("UnprotectedOrdersRule") {
            it("warns about engines that accept orders from any sender") {
                findings("order-check = yes", "order-check = no") shouldContainExactly listOf(
                    "trial.ini:16: warning: engines of pool \"writers\" accept orders from " +
                        "anyone; the agent's lease is the only guard, so close their port to other VMs"
                )
            }
        }
    })
