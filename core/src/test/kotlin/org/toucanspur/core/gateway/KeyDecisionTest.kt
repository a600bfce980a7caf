package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId

private val acme = Organisation(OrganisationId("acme"), setOf("k"), null, emptySet())

private fun route(isAnonymousAllowed: Boolean) = TrafficRoute(
    name = "r",
    host = "h",
    pathPrefix = "/",
    kind = CallKind.IDEMPOTENT,
    targets = listOf(RouteTarget(ServiceId("s"), 1)),
    timeoutMillis = 1000,
    targetMillis = 100,
    eventGapTargetMillis = 100,
    priority = 0,
    endpointsMax = 2,
    isAnonymousAllowed = isAnonymousAllowed,
    isResumable = false,
    homeRegions = emptySet()
)

private fun configuration(vararg organisations: Organisation) = TrafficConfiguration(
    1,
    emptyList(),
    emptyMap(),
    CallerLimits(1, 1, 1, 1),
    organisations.toList()
)

class KeyDecisionTest :
    DescribeSpec({
        val keyed = route(isAnonymousAllowed = false)
        val anonymous = route(isAnonymousAllowed = true)
        describe("a fresh configuration") {
            fun check(route: TrafficRoute, key: String?) =
                checkApiKey(configuration(acme), route, key, isFresh = true, isCurrent = true)
            it("gives a key to its organisation on every route") {
                check(keyed, "k") shouldBe KeyDecision.Accepted(acme)
                check(anonymous, "k") shouldBe KeyDecision.Accepted(acme)
            }
            it("accepts an unknown or missing key only with anonymous access") {
                listOf(null, "x").forEach { key ->
                    check(keyed, key) shouldBe KeyDecision.Unknown
                    check(anonymous, key) shouldBe KeyDecision.Accepted(null)
                }
            }
        }
        // Guards against 401 for a key that a newer version of the configuration has.
        describe("a fresh configuration that may lack a change in force") {
            fun check(key: String?) =
                checkApiKey(configuration(acme), keyed, key, isFresh = true, isCurrent = false)
            it("accepts the keys that it has, and does not decide on others") {
                check("k") shouldBe KeyDecision.Accepted(acme)
                check("x") shouldBe KeyDecision.Undecidable
                check(null) shouldBe KeyDecision.Undecidable
            }
        }
        // Guards against acting for the organisation of a key that was taken away: on routes with
        // anonymous access, a configuration of any age decided.
        describe("an outdated configuration") {
            fun check(route: TrafficRoute, key: String?) =
                checkApiKey(configuration(acme), route, key, isFresh = false, isCurrent = false)
            it("decides on no key on any route") {
                listOf("k", "x").forEach { key ->
                    check(keyed, key) shouldBe KeyDecision.Undecidable
                    check(anonymous, key) shouldBe KeyDecision.Undecidable
                }
            }
            it("still accepts a request without a key with anonymous access") {
                check(anonymous, null) shouldBe KeyDecision.Accepted(null)
                check(keyed, null) shouldBe KeyDecision.Undecidable
            }
        }
        describe("a configuration without organisations") {
            it("accepts every request without an organisation") {
                checkApiKey(
                    configuration(),
                    keyed,
                    "k",
                    isFresh = false,
                    isCurrent = false
                ) shouldBe KeyDecision.Accepted(null)
            }
        }
    })
