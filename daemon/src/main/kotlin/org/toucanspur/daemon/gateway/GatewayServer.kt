/*
 * HTTP server of an entry node for callers.
 */
package org.toucanspur.daemon.gateway

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.concurrent.ScheduledFuture
import java.net.InetSocketAddress
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.CallerActivity
import org.toucanspur.core.gateway.CallerHolding
import org.toucanspur.core.gateway.CallerMemory
import org.toucanspur.core.gateway.CallerTimeout
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.LimitsSection
import org.toucanspur.schema.RequestId

/** Accepts caller connections and passes their requests to [dispatcher]. */
class GatewayServer(
    private val loop: NettyEventLoop,
    private val state: GatewayState,
    private val dispatcher: CallDispatcher,
    private val connectionsMax: Int,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    memoryMaxBytes: Long = callerMemoryBytes(state.settings.limits)
) : CallerConnectionListener {
    private val headLimits =
        HeadLimits(state.settings.limits.headerFields) { state.callerLimits.headerMaxBytes }
    private val memory = CallerMemory<CallerConnection>(memoryMaxBytes)
    private var isShedding = false
    private val calls = HashMap<CallerConnection, Call>()
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null
    private var holdEnd: ScheduledFuture<*>? = null

    override var isClosing = false
        private set

    override var isInputHeld = false
        private set

    override val bodyMaxBytes: Int
        get() = state.callerLimits.bodyMaxBytes

    /** Starts listening; returns the bound address. */
    fun start(address: InetSocketAddress): InetSocketAddress {
        val bound = loop.listen(address, ::initializeChannel).sync().channel()
        listener = bound
        loop.scheduleRepeating("timeouts", TIMEOUT_CHECK_MILLIS, ::closeTimedOut)
        return bound.localAddress() as InetSocketAddress
    }

    /** Reads nothing more from callers until [resumeInput], for [maxMillis] at most. */
    fun holdInput(maxMillis: Long) {
        if (isInputHeld) return
        isInputHeld = true
        connections.forEach { it.onInputHeldChanged() }
        holdEnd = loop.schedule("held input", maxMillis, ::resumeInput)
    }

    /** Reads from callers again. */
    fun resumeInput() {
        if (!isInputHeld) return
        isInputHeld = false
        holdEnd?.cancel(false)
        connections.forEach { it.onInputHeldChanged() }
    }

    private fun initializeChannel(channel: Channel) {
        val connection = CallerConnection(this)
        channel.config().setRecvByteBufAllocator(callerReceiveBuffers())
        channel.pipeline().addLast(
            StrictRequestDecoder(connection, headLimits),
            HttpResponseEncoder(),
            connection
        )
    }

    override fun onConnect(connection: CallerConnection) {
        if (connections.size >= connectionsMax && !closeStalled()) {
            connection.close()
            return
        }
        connections += connection
        if (isInputHeld) connection.onInputHeldChanged()
    }

    // Closes the connection whose request has been incomplete for longest without progress.
    private fun closeStalled(): Boolean {
        val now = monotonicMillis()
        val stalled = connections.filter { it.isReceivingOnly }
            .map { it to it.holding().progressMillis }
            .filter { (_, progressMillis) -> now - progressMillis > STALLED_MILLIS }
            .minByOrNull { (_, progressMillis) -> progressMillis }
            ?.first ?: return false
        report(SHED_CONNECTIONS, stalled)
        connections -= stalled
        stalled.close()
        return true
    }

    override fun onHoldingChanged(connection: CallerConnection) {
        if (connection in connections && connection.isOpen) {
            val holding = connection.holding()
            memory.update(connection, holding, groupsOf(connection, holding))
        } else {
            memory.remove(connection)
        }
        // A refusal changes what its connection holds.
        if (isShedding) return
        isShedding = true
        try {
            generateSequence { memory.nextToClose(monotonicMillis()) }.forEach(::shed)
        } finally {
            isShedding = false
        }
    }

    // Callers at one address and route and with one key. Normal requests are in no group: many
    // callers may have one address, and their requests together fit into the budget.
    private fun groupsOf(connection: CallerConnection, holding: CallerHolding): Set<Any> {
        val head = connection.head?.takeIf { holding.bytes > CallerMemory.NORMAL_BYTES }
        if (head == null) return emptySet()
        val host = connection.remoteHost
        val headers = head.headers()
        val routeName = state.configuration
            ?.route(headers.get(HttpHeaderNames.HOST).orEmpty(), head.uri())?.name
        val key = dispatcher.codec.decode { headers.get(it) }.key
        return setOfNotNull(host, "route" to routeName, key?.let { "key" to it })
    }

    private fun shed(connection: CallerConnection) {
        report(SHED_MEMORY, connection)
        val isReceiving = connection.isReceivingOnly
        memory.remove(connection)
        if (isReceiving) {
            refuseOverBudget(connection)
        } else {
            connections -= connection
            connection.close()
        }
        memory.remove(connection)
    }

    private fun refuseOverBudget(connection: CallerConnection) {
        val head = connection.head
        val id = head?.let { dispatcher.codec.decode { name -> it.headers().get(name) }.requestId }
        val refusal = Refusal(UNAVAILABLE, "entry holds too much of other requests", RETRY_MILLIS)
        val headers = refusal.headers(dispatcher.codec, id ?: RequestId(""))
        metrics.onRefused(refusal.status)
        connection.refuse(refusal.status, headers, refusal.body())
    }

    private fun report(reason: String, connection: CallerConnection) {
        val holding = connection.holding()
        metrics.onShed(reason)
        log.event(EventCode.CALLER_SHED, isEssential = false) {
            put("reason", reason)
            put("heldBytes", holding.bytes)
            put("stalledMillis", monotonicMillis() - holding.progressMillis)
            put("totalHeldBytes", memory.totalBytes)
        }
    }

    override fun mayRun(connection: CallerConnection, bytes: Long): Boolean = memory.admits(bytes)

    override fun onOverBudget(connection: CallerConnection) {
        report(SHED_RUNNING, connection)
        refuseOverBudget(connection)
    }

    override fun onRequest(connection: CallerConnection, request: BufferedRequest) {
        val call = dispatcher.onRequest(connection, request) ?: return
        connection.extendDeadline(call.deadlineMillis)
        if (!call.isFinished) calls[connection] = call
    }

    // A connection may stay open for long, so it does not keep what the call has buffered.
    override fun onResponseEnd(connection: CallerConnection) {
        calls -= connection
        onHoldingChanged(connection)
    }

    override fun onDisconnect(connection: CallerConnection) {
        connections -= connection
        memory.remove(connection)
        calls.remove(connection)?.let(dispatcher::onDisconnect)
    }

    override fun onWritabilityChanged(connection: CallerConnection, isWritable: Boolean) {
        calls[connection]?.takeUnless { it.isFinished }?.setReading(isWritable)
    }

    internal fun closeTimedOut() = connections.toList().forEach { connection ->
        val expired = expired(connection)
        // Responses are read without an event of their connection.
        if (connection in connections) onHoldingChanged(connection)
        if (expired == null) return@forEach
        // After a pause or a long task, the selector has not been asked since the request arrived.
        connection.transfer()
        if (connection in connections) expired(connection)?.let { close(connection, it) }
    }

    private fun expired(connection: CallerConnection): CallerTimeout? =
        state.callerTimeouts.expired(connection.sampleActivity(), monotonicMillis())

    private fun close(connection: CallerConnection, timeout: CallerTimeout) {
        report(timeout, connection.sampleActivity(), monotonicMillis())
        if (timeout == CallerTimeout.INCOMPLETE_REQUEST) {
            connection.refuseIncomplete()
        } else {
            connection.close()
        }
    }

    private fun report(timeout: CallerTimeout, activity: CallerActivity, nowMillis: Long) {
        val isCut = timeout == CallerTimeout.UNREAD_RESPONSE
        metrics.onTimedOut(timeout.reason, isCut)
        log.event(EventCode.CALLER_TIMED_OUT, isEssential = isCut) {
            put("reason", timeout.reason)
            put("inactiveMillis", nowMillis - activity.lastProgressMillis)
            put("unsentBytes", activity.unsentBytes)
            put("configuration", state.configuration?.version ?: 0)
        }
    }

    override fun onInternalError(connection: CallerConnection, cause: Throwable) {
        // A shortage of memory may fail very many connections.
        log.event(EventCode.CALLER_FAILED, isEssential = cause !is OutOfMemoryError) {
            put("request", calls[connection]?.takeUnless { it.isFinished }?.id?.value ?: "")
            put("cause", cause.toString())
            put("at", cause.stackTrace.firstOrNull().toString())
        }
    }

    /** Announces in each response that the connection will be closed. */
    fun beginClosing() {
        isClosing = true
    }

    /** Stops listening and closes idle connections. */
    fun closeIdle() {
        listener?.close()
        connections.filter { it.isDrained }.forEach {
            it.transfer()
            if (it.isDrained) it.close()
        }
    }

    /** Whether a request is being received or processed, or a response is not yet written. */
    val isServing: Boolean get() = connections.any { !it.isDrained }

    /** Number of response bytes that the sockets of callers have not accepted yet. */
    val unsentBytes: Long get() = connections.sumOf { it.unsentBytes }

    /** Bytes that the connections of callers hold in memory. */
    val heldBytes: Long get() = memory.totalBytes

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    private companion object {
        const val TIMEOUT_CHECK_MILLIS = 500L
        const val UNAVAILABLE = 503

        // Connections that were refused together return at a time when others have ended.
        const val RETRY_MILLIS = 1000L

        // A connection that made progress within this time is not closed for a new one.
        const val STALLED_MILLIS = 1000L
        const val SHED_MEMORY = "memory"
        const val SHED_RUNNING = "memory of running requests"
        const val SHED_CONNECTIONS = "connections"
    }
}

private const val HEAP_SHARE = 4
private const val MIB = 1024L * 1024

private fun callerMemoryBytes(limits: LimitsSection): Long = if (limits.callerMemoryMib > 0) {
    limits.callerMemoryMib * MIB
} else {
    Runtime.getRuntime().maxMemory() / HEAP_SHARE
}

// A few unread bytes keep the whole receive buffer, which by default has up to 64 KiB. A read is
// decoded at once, and 16 KiB in chunks of one byte delay all other callers by milliseconds.
private const val RECEIVE_MIN_BYTES = 64
private const val RECEIVE_INITIAL_BYTES = 2048
private const val RECEIVE_MAX_BYTES = 4 * 1024

private fun callerReceiveBuffers() =
    AdaptiveRecvByteBufAllocator(RECEIVE_MIN_BYTES, RECEIVE_INITIAL_BYTES, RECEIVE_MAX_BYTES)
