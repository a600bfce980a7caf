package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.OrganisationId

class TrafficConfigurationTest :
    DescribeSpec({
        val limits = CallerLimits(1024, 1024, 1000, 1000)
        val acme = Organisation(OrganisationId("acme"), setOf("k1", "k2"), null, emptySet())
        val configuration = TrafficConfiguration(
            7,
            listOf(route("/a/"), route("/a/b/"), route("/", host = "other.example")),
            mapOf(writers to service()),
            limits,
            listOf(acme)
        )
        describe("a route") {
            it("is selected by the longest matching path prefix") {
                configuration.route("h.example", "/a/b/c")?.pathPrefix shouldBe "/a/b/"
                configuration.route("h.example", "/a/x/c?q=/a/b/")?.pathPrefix shouldBe "/a/"
            }
            it("is matched without the port and the case of the host") {
                configuration.route("H.example:8080", "/a/1")?.pathPrefix shouldBe "/a/"
            }
            it("is not found for an unknown host or path") {
                configuration.route("x.example", "/a/1") shouldBe null
                configuration.route("h.example", "/ab") shouldBe null
            }
            it("may cover all paths of a host") {
                configuration.route("other.example", "/z")?.pathPrefix shouldBe "/"
            }
        }
        describe("an API key") {
            it("identifies the organisation that owns it") {
                configuration.organisationOf("k2") shouldBe acme
                configuration.organisationOf("k3") shouldBe null
            }
        }
    })
