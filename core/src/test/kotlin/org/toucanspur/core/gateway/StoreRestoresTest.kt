package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.core.platform.ObjectKind

class StoreRestoresTest :
    DescribeSpec({
        describe("a kind of object") {
            it("is restored at the first listing in each later era, each kind by itself") {
                val restores = StoreRestores()
                restores.onEra(ObjectKind.ENDPOINTS, 1)
                restores.takeRestored(ObjectKind.ENDPOINTS) shouldBe false
                restores.onEra(ObjectKind.EVACUATIONS, 1)
                restores.onEra(ObjectKind.ENDPOINTS, 2)
                restores.takeRestored(ObjectKind.ENDPOINTS) shouldBe true
                restores.takeRestored(ObjectKind.ENDPOINTS) shouldBe false
                restores.takeRestored(ObjectKind.EVACUATIONS) shouldBe false
                restores.onEra(ObjectKind.EVACUATIONS, 3)
                restores.takeRestored(ObjectKind.EVACUATIONS) shouldBe true
            }
        }
    })
