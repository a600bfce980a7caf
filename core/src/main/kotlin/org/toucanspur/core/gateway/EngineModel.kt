/*
 * Predicts when a model engine gives the first event of a request. An engine works in passes: each
 * pass runs some steps for all requests that write, and reads prompts in between. Requests beyond
 * the slots wait until one of the running ones ends.
 */
package org.toucanspur.core.gateway

private const val MILLIS_PER_SECOND = 1000.0
private const val TOKENS_PER_CONTEXT_UNIT = 1000.0

/** Time of one step with [running] requests. */
fun stepMillis(engine: EngineTiming, running: Int): Double {
    val contextThousands = (engine.usualPromptTokens + engine.usualAnswerTokens / 2.0) /
        TOKENS_PER_CONTEXT_UNIT
    return engine.stepMillis +
        running *
        (engine.perSequenceMillis + engine.contextPerThousandTokensMillis * contextThousands)
}

/** Time to read a prompt of [tokens] tokens. */
fun promptMillis(engine: EngineTiming, tokens: Int): Double =
    tokens / engine.promptTokensPerSecond * MILLIS_PER_SECOND

/** Time that the answer to a usual request takes when all slots are taken. */
fun usualAnswerMillis(engine: EngineTiming): Double =
    engine.usualAnswerTokens * stepMillis(engine, engine.slots) /
        (1 - readingShare(engine, engine.slots))

/** Time between two requests that end, when all slots are taken. */
fun completionIntervalMillis(engine: EngineTiming): Double {
    val running = maxOf(1, engine.slots)
    val writing = engine.usualAnswerTokens * stepMillis(engine, running) / running
    return writing + promptMillis(engine, engine.usualPromptTokens)
}

/**
 * Time until the first event of a request that finds [occupancy] others at the engine, by the last
 * report. Close to the last slot each of [unseen], the arrivals since the report, means a wait for
 * a request to end.
 */
fun predictedFirstEventMillis(
    engine: EngineTiming,
    occupancy: Int,
    promptTokens: Int,
    unseen: Double
): Double {
    val running = minOf(occupancy, engine.slots)
    val pass = if (running == 0) 0.0 else engine.stepsPerPass * stepMillis(engine, running)
    val firstEvent = engine.stepsPerPass * stepMillis(engine, running + 1)
    val ahead = maxOf(0.0, occupancy - engine.slots + 1 + unseen)
    return (pass / 2 + firstEvent) / (1 - readingShare(engine, running)) +
        promptMillis(engine, promptTokens) + ahead * completionIntervalMillis(engine)
}

// Share of an engine's time that goes to reading prompts while it writes for [running] requests.
private fun readingShare(engine: EngineTiming, running: Int): Double {
    val reading = promptMillis(engine, engine.usualPromptTokens)
    val fullShare = reading / maxOf(1.0, completionIntervalMillis(engine))
    return minOf(READING_SHARE_MAX, fullShare * running / maxOf(1, engine.slots))
}

private const val READING_SHARE_MAX = 0.8
