/*
 * Predicts the time to the first event of a request on a model engine. The engine works in passes:
 * each pass runs several decode steps for all running requests and prefills new prompts between
 * them. Requests beyond the number of slots are queued until a running request ends.
 */
package org.toucanspur.core.gateway

private const val MILLIS_PER_SECOND = 1000.0
private const val TOKENS_PER_CONTEXT_UNIT = 1000.0

/** Duration of one decode step with [running] requests in the batch. */
fun stepMillis(engine: EngineTiming, running: Int): Double = stepMillis(engine, running.toDouble())

private fun stepMillis(engine: EngineTiming, running: Double): Double {
    val meanContextThousands = (engine.typicalPromptTokens + engine.typicalOutputTokens / 2.0) /
        TOKENS_PER_CONTEXT_UNIT
    return engine.stepMillis +
        running *
        (engine.perSequenceMillis + engine.contextPerThousandTokensMillis * meanContextThousands)
}

/** Time to prefill a prompt of [tokens] tokens. */
fun prefillMillis(engine: EngineTiming, tokens: Int): Double =
    tokens / engine.promptTokensPerSecond * MILLIS_PER_SECOND

/** Duration of the response to a typical request when all slots are occupied. */
fun typicalResponseMillis(engine: EngineTiming): Double = responseMillis(engine, engine.slots)

/** Duration of the response to a typical request while [running] slots are occupied. */
fun responseMillis(engine: EngineTiming, running: Int): Double =
    engine.typicalOutputTokens * stepMillis(engine, running) /
        (1 - prefillShare(engine, running.toDouble()))

/** Mean time between two request completions when all slots are occupied. */
fun completionIntervalMillis(engine: EngineTiming): Double {
    val running = maxOf(1, engine.slots)
    val decode = engine.typicalOutputTokens * stepMillis(engine, running) / running
    return decode + prefillMillis(engine, engine.typicalPromptTokens)
}

/**
 * Predicted time to the first event of a request that arrives when the last load report shows
 * [occupancy] other requests at the engine. When the engine is nearly full, each of
 * [unreportedArrivals], the expected arrivals since that report, adds the wait for one completion.
 */
fun predictedFirstEventMillis(
    engine: EngineTiming,
    occupancy: Int,
    promptTokens: Int,
    unreportedArrivals: Double
): Double = predictedFirstEventMillis(
    engine,
    occupancy.toDouble(),
    promptTokens,
    unreportedArrivals
)

/** The same for an expected number of other requests. */
fun predictedFirstEventMillis(
    engine: EngineTiming,
    occupancy: Double,
    promptTokens: Int,
    unreportedArrivals: Double
): Double {
    val running = minOf(occupancy, engine.slots.toDouble())
    val pass = if (running == 0.0) 0.0 else engine.stepsPerPass * stepMillis(engine, running)
    val firstEvent = engine.stepsPerPass * stepMillis(engine, running + 1)
    val ahead = maxOf(0.0, occupancy - engine.slots + 1 + unreportedArrivals)
    return (pass / 2 + firstEvent) / (1 - prefillShare(engine, running)) +
        prefillMillis(engine, promptTokens) + ahead * completionIntervalMillis(engine)
}

/** Time by which each running request delays the first event of another one. */
fun requestDelayMillis(engine: EngineTiming): Double {
    val tokens = engine.typicalPromptTokens
    val full = predictedFirstEventMillis(engine, engine.slots - 1, tokens, 0.0)
    return (full - predictedFirstEventMillis(engine, 0, tokens, 0.0)) / engine.slots
}

/** Time between two events of a stream while [running] slots are occupied. */
fun passMillis(engine: EngineTiming, running: Double): Double =
    engine.stepsPerPass * stepMillis(engine, running) / (1 - prefillShare(engine, running))

// Share of the engine's time spent on prefill while [running] requests are decoding.
private fun prefillShare(engine: EngineTiming, running: Double): Double {
    val prefill = prefillMillis(engine, engine.typicalPromptTokens)
    val fullShare = prefill / maxOf(1.0, completionIntervalMillis(engine))
    return minOf(PREFILL_SHARE_MAX, fullShare * running / maxOf(1, engine.slots))
}

private const val PREFILL_SHARE_MAX = 0.8
