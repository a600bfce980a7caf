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

private fun faults(text: String): List<String> =
    checkSettings("entry.ini", text).fold({ emptyList() }, { found -> found.map { it.render() } })

class SettingsCheckTest :
    DescribeSpec({
        describe("a settings file") {
            it("is accepted with defaults for what it leaves out") {
                val settings = checkSettings("entry.ini", validSettings).fold({ it }, { null })
                settings?.streams?.windowKib shouldBe 8
            }
            it("is rejected with the nearest known key for a misspelt one") {
                faults(validSettings.replace("peer-port", "per-port")) shouldContainExactly listOf(
                    "entry.ini:7: key \"peer-port\" is missing in section \"listen\"; " +
                        "add it: Port for other processes of the system.",
                    "entry.ini:9: unknown key \"per-port\" in section \"listen\"; " +
                        "did you mean \"peer-port\"?"
                )
            }
            it("is rejected with the range for a number out of range") {
                faults(validSettings.replace("8080", "80800")) shouldContainExactly listOf(
                    "entry.ini:8: 80800 is out of range for \"http-port\"; use 0 to 65535"
                )
            }
            it("is rejected with all faults at once") {
                val text = validSettings.replace("entry\n", "entri\n").replace("brest-a", "brest a")
                faults(text).size shouldBe 2
            }
            it("is rejected with the line that is no INI") {
                faults("$validSettings\nnonsense") shouldContainExactly listOf(
                    "entry.ini:15: line is neither a section, a comment nor \"key = value\"; correct it"
                )
            }
            it("names the pool and URL that an agent needs") {
                faults(validSettings.replace("role = entry", "role = agent")).size shouldBe 2
            }
        }
    })
