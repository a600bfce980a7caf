/*
 * Divides the notice of an entry into datagrams, and decides how often an entry sends one.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EntryDemand
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.WindowCounts

/**
 * Time between two notices of an entry. Each of [entryCount] entries receives those of all others,
 * so the time grows with their number. It stays short enough that a notice which was sent after the
 * end of a usage window arrives before the report of that window is due.
 */
fun noticePeriodMillis(entryCount: Int): Long =
    (maxOf(1, entryCount) * MILLIS_PER_SECOND / NOTICES_PER_SECOND)
        .coerceIn(PERIOD_MIN_MILLIS, PERIOD_MAX_MILLIS)

/**
 * Divides [counts] and [demand] into notices like [header] that fit into one packet each. The
 * counts of one window may be divided too.
 */
fun divideNotice(
    header: EntryNotice,
    counts: List<WindowCounts>,
    demand: List<EntryDemand>
): List<EntryNotice> {
    val notices = mutableListOf<EntryNotice>()
    var current = header.copy(windows = emptyList(), demand = emptyList())
    var bytes = HEADER_BYTES
    fun reserve(size: Int) {
        if (bytes + size > DATAGRAM_MAX_BYTES) {
            notices += current
            current = header.copy(windows = emptyList(), demand = emptyList())
            bytes = HEADER_BYTES
        }
        bytes += size
    }
    demand.forEach {
        reserve(DEMAND_BYTES + it.service.value.encodeToByteArray().size)
        current = current.copy(demand = current.demand + it)
    }
    counts.forEach { window ->
        reserve(WINDOW_BYTES)
        var part = window.copy(organisations = emptyList(), counts = emptyList())
        window.organisations.zip(window.counts).forEach { (id, count) ->
            val size = NAME_BYTES + id.value.encodeToByteArray().size + countBytes(count)
            if (bytes + size > DATAGRAM_MAX_BYTES) {
                current = current.copy(windows = current.windows + part)
                part = window.copy(organisations = emptyList(), counts = emptyList())
                reserve(size + WINDOW_BYTES)
            } else {
                bytes += size
            }
            part = part.copy(organisations = part.organisations + id, counts = part.counts + count)
        }
        current = current.copy(windows = current.windows + part)
    }
    return notices + current
}

private const val MILLIS_PER_SECOND = 1000L
private const val NOTICES_PER_SECOND = 20
private const val PERIOD_MIN_MILLIS = 1000L

// With 370 entries, an entry receives 74 notices a second rather than 20. At 20 a second, the
// period would be 18 s, longer than a usage report may take.
private const val PERIOD_MAX_MILLIS = 5000L

// Sizes in CBOR with names of fields; a test compares them with encoded frames.
private const val DATAGRAM_MAX_BYTES = 1200
private const val HEADER_BYTES = 220
private const val DEMAND_BYTES = 125
private const val WINDOW_BYTES = 70
private const val NAME_BYTES = 2
private const val SHORT_COUNT_MAX = 65_535L
private const val SHORT_COUNT_BYTES = 3
private const val LONG_COUNT_BYTES = 9

private fun countBytes(count: Long): Int =
    if (count in 0..SHORT_COUNT_MAX) SHORT_COUNT_BYTES else LONG_COUNT_BYTES
