package org.toucanspur.core.config

import com.github.michaelbull.result.fold
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private val validSettings = """
    [daemon]
    role = entry
    vm = entry-1
    zone = brest-a
    region = finistere
    environment = trial
    [listen]
    http-port = 8080
    peer-port = 9090
    [platform]
    object-api-url = http://10.0.0.1:80
    vm-list-url = http://10.0.0.1:80/vms
    [keys]
    current = 0123456789012345678901234567890123456789
""".trimIndent()

private fun findings(text: String): List<String> =
    checkSettings("entry.ini", text).fold({ emptyList() }, { found -> found.map { it.render() } })

class SettingsCheckTest :
    DescribeSpec({
        describe("a settings file") {
            it("is accepted with defaults for omitted keys") {
                val settings = checkSettings("entry.ini", validSettings).fold({ it }, { null })
                settings?.streams?.windowKib shouldBe 8
            }
            it("is rejected with a suggestion for a misspelt key") {
                findings(
                    validSettings.replace("peer-port", "per-port")
                ) shouldContainExactly listOf(
                    "entry.ini:7: key \"peer-port\" is missing in section \"listen\"; " +
                        "add it: Port for other processes of the system.",
                    "entry.ini:9: unknown key \"per-port\" in section \"listen\"; " +
                        "did you mean \"peer-port\"?"
                )
            }
            it("is rejected with the valid range for a number out of range") {
                findings(validSettings.replace("8080", "80800")) shouldContainExactly listOf(
                    "entry.ini:8: 80800 is out of range for \"http-port\"; use 0 to 65535"
                )
            }
            it("is rejected with all errors at once") {
                val text = validSettings.replace("entry\n", "entri\n").replace("brest-a", "brest a")
                findings(text).size shouldBe 2
            }
            it("is rejected with the line that is not valid INI") {
                findings("$validSettings\nnonsense") shouldContainExactly listOf(
                    "entry.ini:15: line is neither a section, a comment nor \"key = value\"; correct it"
                )
            }
            it("reports a missing pool and URL of an agent") {
                findings(validSettings.replace("role = entry", "role = agent")).size shouldBe 2
            }
        }
    })
