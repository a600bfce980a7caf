package org.toucanspur.core.events

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

class EventCatalogueTest :
    DescribeSpec({
        describe("docs/EVENTS.md") {
            it("lists exactly the events of the code") {
                val listed = Files.readAllLines(Path.of("../docs/EVENTS.md")).filter {
                    it.startsWith("| E")
                }
                listed shouldBe EventCode.entries.map { "| E${it.number} | ${it.title} |" }
            }
            it("has no number twice") {
                EventCode.entries.map { it.number }.toSet().size shouldBe EventCode.entries.size
            }
        }
    })
