package org.toucanspur.codegen

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

class GeneratedCodeTest :
    DescribeSpec({
        describe("the committed generated files") {
            generateAll(Path.of("..")).forEach { (path, generatedText) ->
                it("match the generator output for ${path.fileName}") {
                    Files.readString(path) shouldBe generatedText
                }
            }
        }
    })
