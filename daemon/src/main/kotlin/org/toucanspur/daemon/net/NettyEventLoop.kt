/*
 * Netty event loop of a process. All state of the gateway and of the agent is confined to its
 * single thread, so that decisions need no locks; VMs have only one processor.
 */
package org.toucanspur.daemon.net

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.util.concurrent.ScheduledFuture
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import jdk.net.ExtendedSocketOptions
import kotlin.random.Random
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

// Write buffer size at which a connection becomes unwritable because its peer does not read, and
// the size at which it becomes writable again.
private const val WRITE_BUFFER_HIGH_BYTES = 32 * 1024
private const val WRITE_BUFFER_LOW_BYTES = 8 * 1024
private const val ACCEPT_BACKLOG = 1024

// Closes a connection about 3 s after its peer becomes unreachable or loses the connection state.
private const val KEEPALIVE_SECONDS = 1
private const val KEEPALIVE_PROBES = 2

// Netty derives channel ids from a machine id, by default a hardware address for which it scans
// all network interfaces at each start. A random id is sufficient and avoids the scan.
private const val MACHINE_ID = "io.netty.machineId"
private const val MACHINE_ID_BYTES = 8

// Time between the failure of a task and its next run.
private const val RESTART_MILLIS = 500L
private const val CLOSE_TIMEOUT_MILLIS = 2000L

/** An event loop with one thread and its coroutine scope; [onFailure] gets the task that failed. */
class NettyEventLoop(private val onFailure: (String, Throwable) -> Unit = { _, _ -> }) :
    AutoCloseable {
    init {
        val id = Random.nextBytes(MACHINE_ID_BYTES).joinToString(":") { "%02x".format(it) }
        System.setProperty(MACHINE_ID, System.getProperty(MACHINE_ID) ?: id)
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** Executor of the event loop thread. */
    val executor = group.next()

    /** Scope whose coroutines run on the event loop. */
    val scope = CoroutineScope(SupervisorJob() + executor.asCoroutineDispatcher())

    /** Reports that a part of the task [name] has failed, which does not end the task. */
    fun onTaskFailed(name: String, cause: Throwable) = onFailure(name, cause)

    /** Runs [action], the task [name], on the event loop. */
    fun execute(name: String, action: () -> Unit) =
        executor.execute { runCatching(action).onFailure { onFailure(name, it) } }

    /** Runs [action], the task [name], on the event loop after [delayMillis]. */
    fun schedule(name: String, delayMillis: Long, action: () -> Unit): ScheduledFuture<*> =
        executor.schedule(
            { runCatching(action).onFailure { onFailure(name, it) } },
            maxOf(0, delayMillis),
            TimeUnit.MILLISECONDS
        )

    /**
     * Runs [action], the task [name], repeatedly on the event loop, with a delay of [periodMillis]
     * between runs. A run that fails does not prevent the next one.
     */
    fun scheduleRepeating(
        name: String,
        periodMillis: Long,
        action: () -> Unit
    ): ScheduledFuture<*> = executor.scheduleWithFixedDelay(
        { runCatching(action).onFailure { onFailure(name, it) } },
        periodMillis,
        periodMillis,
        TimeUnit.MILLISECONDS
    )

    /** Runs [action], the task [name], once as a coroutine. */
    fun launch(name: String, action: suspend CoroutineScope.() -> Unit): Job = scope.launch {
        runCatching { coroutineScope(action) }.onFailure { reportFailure(name, it) }
    }

    /** Runs [action] as [launch] does, and again after a delay each time that it fails. */
    fun supervise(
        name: String,
        onFailed: () -> Unit = {},
        action: suspend CoroutineScope.() -> Unit
    ): Job = scope.launch {
        while (runCatching { coroutineScope(action) }.isFailed(name)) {
            onFailed()
            delay(RESTART_MILLIS)
        }
    }

    private fun Result<Unit>.isFailed(name: String): Boolean {
        onFailure { reportFailure(name, it) }
        return isFailure
    }

    private fun reportFailure(name: String, cause: Throwable) {
        if (cause is CancellationException) throw cause
        onFailure(name, cause)
    }

    /** Listens on [address]; [initializeChannel] sets up each accepted connection. */
    fun listen(address: InetSocketAddress, initializeChannel: (Channel) -> Unit): ChannelFuture =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
            .childHandler(channelInitializer(initializeChannel))
            .bind(address)

    /** Connects to [address]; [initializeChannel] sets up the connection. */
    fun connect(
        address: InetSocketAddress,
        timeoutMillis: Int,
        initializeChannel: (Channel) -> Unit
    ): ChannelFuture = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
        .handler(channelInitializer(initializeChannel))
        .connect(address)

    /** Binds a datagram socket to [address]. */
    fun bindDatagram(address: InetSocketAddress, handler: ChannelHandler): ChannelFuture =
        Bootstrap()
            .group(group)
            .channel(NioDatagramChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(handler)
            .bind(address)

    /** Ends all tasks, closes all connections and waits until the thread has ended. */
    override fun close() {
        scope.cancel()
        group.shutdownGracefully(
            0,
            CLOSE_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS
        ).syncUninterruptibly()
    }

    private fun writeBufferWaterMark() =
        WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES)

    private fun channelInitializer(initializeChannel: (Channel) -> Unit) =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = initializeChannel(channel)
        }
}

/** Parses HOST:PORT with a numeric host. */
fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
