/*
 * Explanation of a request as text.
 */
package org.toucanspur.cli

import java.util.Locale
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.ExplainedEndpoint
import org.toucanspur.core.gateway.ExplainedOutcome

private const val PERCENT = 100

/** Renders [explanation] in lines. */
internal fun explanationText(explanation: CallExplanation): String = buildList {
    add("entry      ${explanation.entry}, configuration ${explanation.configuration}")
    explanation.route?.let { route ->
        val targets = explanation.targets.entries.joinToString { "${it.key} (${it.value})" }
        add("route      $route to ${explanation.service}; services by weight: $targets")
        add("key        ${explanation.organisation?.let { "of organisation $it" } ?: "none"}")
        add("priority   ${explanation.priority}")
    }
    explanation.admission?.let {
        val load = if (it.isOverloaded) "overloaded" else "not overloaded"
        val attempt = if (it.isOnTime) "first attempt" else "late, as after a refusal"
        val admitted = if (it.isAdmitted) "admitted" else "not admitted"
        val share = (it.share * PERCENT).toInt()
        add("admission  $admitted; service $load, $share% of the priority admitted; $attempt")
    }
    explanation.budgetMillis?.let { add("budget     ${millis(it)} to the first byte") }
    if (explanation.endpoints.isNotEmpty()) {
        add("")
        addAll(endpointTable(explanation.endpoints))
        add("")
    }
    add("result     ${resultText(explanation)}")
}.joinToString("\n")

private fun resultText(explanation: CallExplanation): String {
    val refusal = explanation.refusal
    val wait = explanation.wait
    return when (explanation.outcome) {
        ExplainedOutcome.SENT ->
            "is sent to ${explanation.endpoints.firstOrNull { it.isChosen }?.id}"
        ExplainedOutcome.WAITS -> {
            val predicted = wait?.predictedMillis?.let { "$it ms" } ?: "unknown"
            val others = if (wait?.isBehindOthers == true) " behind others" else ""
            "waits$others up to ${wait?.maxMillis} ms, predicted: $predicted; is refused if it " +
                "will not be served in time"
        }
        else ->
            "is refused with ${refusal?.status}: ${refusal?.reason} (${refusal?.cause})" +
                refusal?.retryAfterMillis?.let { ", to return in $it ms" }.orEmpty()
    }
}

private fun endpointTable(endpoints: List<ExplainedEndpoint>): List<String> {
    val order = compareBy<ExplainedEndpoint>(
        { !it.isChosen },
        { it.exclusion != null },
        { !it.isWithinBudget },
        { it.cost ?: it.firstByteMillis ?: Double.MAX_VALUE },
        { it.id }
    )
    val header = listOf("ENDPOINT", "ZONE", "REQUESTS", "REPORT", "FIRST BYTE", "COST", "REASON")
    val rows = endpoints.sortedWith(order).map {
        listOf(
            it.id,
            it.zone,
            "${it.occupancy}/${it.slots}",
            if (it.reportAgeMillis < 0) "none" else "${it.reportAgeMillis} ms",
            it.firstByteMillis?.let(::millis).orEmpty(),
            it.cost?.let(::millis).orEmpty(),
            reasonOf(it)
        )
    }
    val widths = header.indices.map { column ->
        (rows + listOf(header)).maxOf { it[column].length }
    }
    return (listOf(header) + rows).map { row ->
        row.indices.joinToString("  ") { row[it].padEnd(widths[it]) }.trimEnd()
    }
}

private fun reasonOf(endpoint: ExplainedEndpoint): String = when {
    endpoint.isChosen -> "chosen"
    endpoint.exclusion != null -> endpoint.exclusion?.text.orEmpty()
    !endpoint.isWithinBudget -> "has been too slow for the budget lately"
    else -> "costs more"
}

private fun millis(value: Double) = String.format(Locale.ROOT, "%.0f ms", value)
