/*
 * The event loop of a process. All state of the gateway and of the agent is confined to its one
 * thread: VMs have one processor, and decisions need no locks.
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
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher

// Bytes held for a peer that does not read, and the level at which reading goes on.
private const val WRITE_HIGH_BYTES = 32 * 1024
private const val WRITE_LOW_BYTES = 8 * 1024
private const val ACCEPT_BACKLOG = 1024

// A connection whose other end is gone or has lost track of it is given up after about 3 s.
private const val KEEPALIVE_SECONDS = 1
private const val KEEPALIVE_PROBES = 2

// Netty derives ids of channels from the hardware address, and looks through all network interfaces
// for it at each start. A random one serves as well.
private const val MACHINE_ID = "io.netty.machineId"
private const val MACHINE_ID_BYTES = 8

/** One event loop with its coroutine scope. */
class NetLoop {
    init {
        val id = Random.nextBytes(MACHINE_ID_BYTES).joinToString(":") { "%02x".format(it) }
        System.setProperty(MACHINE_ID, System.getProperty(MACHINE_ID) ?: id)
    }

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The loop's single executor. */
    val executor = group.next()

    /** Coroutines of this scope run on the loop. */
    val scope = CoroutineScope(SupervisorJob() + executor.asCoroutineDispatcher())

    /** Runs [action] after [delayMillis] on the loop. */
    fun schedule(delayMillis: Long, action: () -> Unit): ScheduledFuture<*> =
        executor.schedule(action, maxOf(0, delayMillis), TimeUnit.MILLISECONDS)

    /** Runs [action] every [periodMillis] on the loop. */
    fun every(periodMillis: Long, action: () -> Unit): ScheduledFuture<*> =
        executor.scheduleWithFixedDelay(action, periodMillis, periodMillis, TimeUnit.MILLISECONDS)

    /** Listens on [address]; [initialize] prepares each accepted connection. */
    fun listen(address: InetSocketAddress, initialize: (Channel) -> Unit): ChannelFuture =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .childHandler(initializer(initialize))
            .bind(address)

    /** Connects to [address]. */
    fun connect(
        address: InetSocketAddress,
        timeoutMillis: Int,
        initialize: (Channel) -> Unit
    ): ChannelFuture = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
        .handler(initializer(initialize))
        .connect(address)

    /** Binds a datagram socket. */
    fun datagrams(address: InetSocketAddress, handler: ChannelHandler): ChannelFuture = Bootstrap()
        .group(group)
        .channel(NioDatagramChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .handler(handler)
        .bind(address)

    private fun waterMark() = WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES)

    private fun initializer(initialize: (Channel) -> Unit) =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) = initialize(channel)
        }
}

/** Parses HOST:PORT with a numeric host. */
fun socketAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
