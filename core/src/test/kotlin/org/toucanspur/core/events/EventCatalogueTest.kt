package org.toucanspur.core.events

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

class EventCatalogueTest :
    DescribeSpec({
        describe("docs/EVENTS.md") {
            it("lists exactly the events of EventCode") {
                val documented = Files.readAllLines(Path.of("../docs/EVENTS.md")).filter {
                    it.startsWith("| E")
                }
                documented shouldBe EventCode.entries.map { "| E${it.number} | ${it.title} |" }
            }
            it("contains each number only once") {
                EventCode.entries.map { it.number }.toSet().size shouldBe EventCode.entries.size
            }
        }
    })
