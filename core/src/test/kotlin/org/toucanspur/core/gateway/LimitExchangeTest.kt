package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

private val endpointId = EndpointId("e1")

/** The view of one entry. */
private class Entry(startedAtMillis: Long = 0) {
    private val fleet = Fleet().apply {
        put(record("e1").copy(startedAtMillis = startedAtMillis), 0)
    }
    val exchange = LimitExchange(fleet)
    val endpoint = checkNotNull(fleet.find(endpointId))
    val perSecond get() = endpoint.limitPerSecond

    fun named(perSecond: Double?, nowMillis: Long) = endpoint.onNamedLimit(
        perSecond?.let(NamedLimit::Rate) ?: NamedLimit.None,
        nowMillis,
        nowMillis
    )

    fun receive(sender: Entry, nowMillis: Long) =
        exchange.merge(sender.exchange.limits(nowMillis), nowMillis)
}

class LimitExchangeTest :
    DescribeSpec({
        describe("a limit that an endpoint names to one entry") {
            it("is known to an entry that starts") {
                val first = Entry().apply { named(2.5, 1000) }
                val started = Entry()
                started.receive(first, 5000)
                started.perSecond shouldBe 2.5
            }
            it("holds until the latest response, at whichever entry, says something else") {
                val first = Entry().apply { named(2.5, 1000) }
                val second = Entry().apply { named(4.0, 1500) }
                second.receive(first, 2000)
                second.perSecond shouldBe 4.0
                first.receive(second, 2000)
                first.perSecond shouldBe 4.0
            }
            it("is lifted at all entries, for good") {
                val first = Entry().apply { named(2.5, 1000) }
                val second = Entry().apply { receive(first, 1200) }
                second.named(null, 3000)
                first.receive(second, 3100)
                first.perSecond shouldBe null
                second.receive(Entry().apply { named(2.5, 2900) }, 3200)
                second.perSecond shouldBe null
                second.exchange.limits(3200) shouldHaveSize 1
                second.exchange.limits(7000).shouldBeEmpty()
            }
            it("belongs to one run of the endpoint") {
                val first = Entry(startedAtMillis = 7).apply { named(2.5, 1000) }
                val second = Entry(startedAtMillis = 8)
                second.receive(first, 1200)
                second.perSecond shouldBe null
                first.endpoint.update(record("e1").copy(startedAtMillis = 8), 2000)
                first.perSecond shouldBe null
                first.exchange.limits(2000).shouldBeEmpty()
            }
            it("is news when it changes, not with each response") {
                val first = Entry().apply { named(2.5, 1000) }
                first.exchange.isNews(first.exchange.limits(1100)) shouldBe true
                first.named(2.5, 1200)
                first.exchange.isNews(first.exchange.limits(1300)) shouldBe false
                first.named(3.0, 1400)
                first.exchange.isNews(first.exchange.limits(1500)) shouldBe true
            }
        }
    })
