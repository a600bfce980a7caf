package org.toucanspur.core.config

/** Minimal valid environment document. */
internal val validDocument = """
    [environment]
    name = trial
    [zone a]
    region = north
    [zone b]
    region = south
    [model writer]
    version = 1
    digest = ${"0".repeat(64)}
    [pool writers]
    kind = engine
    model = writer
    zones = a, b
    endpoints = 4
    concurrent-max = 8
    order-check = yes
    [pool desks]
    kind = service
    zones = a
    endpoints = 1
    concurrent-max = 4
    [service slots]
    pool = desks
    at-most-once = POST /bookings
""".trimIndent()
