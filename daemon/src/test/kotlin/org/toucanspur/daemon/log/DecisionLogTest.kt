package org.toucanspur.daemon.log

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.schema.VmId

class DecisionLogTest :
    DescribeSpec({
        describe("the log") {
            it("writes one JSON object per line") {
                val bytes = ByteArrayOutputStream()
                val log = DecisionLog(VmId("vm-1"), PrintStream(bytes))
                log.event(EventCode.STARTED) { put("zone", "a\"b\n") }
                log.flush(2000)
                while (bytes.size() == 0) Thread.onSpinWait()
                bytes.toString(Charsets.UTF_8) shouldContain
                    "\"event\":100,\"name\":\"process started\",\"zone\":\"a\\\"b\\n\"}\n"
            }
            it("does not block callers and bounds its queue while the output is blocked") {
                val unblocked = CountDownLatch(1)
                val blockedOutput = object : OutputStream() {
                    var written = 0

                    override fun write(byte: Int) {
                        unblocked.await()
                        written++
                    }
                }
                val log = DecisionLog(VmId("vm-1"), PrintStream(blockedOutput))
                repeat(20_000) { log.event(EventCode.REQUEST_REFUSED) }
                unblocked.countDown()
                log.flush(2000)
                blockedOutput.written shouldBeLessThan 20_000 * 90
            }
        }
    })
