/*
 * One soak run: entries and agents as separate processes between stand-ins, callers that never
 * stop, and the faults of a seed. The verdict comes from what callers and endpoints saw.
 */
package org.toucanspur.bench.soak

import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import org.toucanspur.standin.platform.ConfigurationDocument
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.OriginService
import org.toucanspur.standin.platform.PLAIN_SERVICE
import org.toucanspur.standin.platform.RouteDocument

/**
 * What a run found; [recoveredShare] is the share of the worst-served kind of request after the
 * last fault, [boundsChecked] the number of bounds that calm entries had to keep.
 */
data class SoakResult(
    val seed: Long,
    val faults: Int,
    val ends: Map<CallEnd, Int>,
    val recoveredShare: Double,
    val boundsChecked: Int,
    val broken: List<BrokenPromise>,
    val directory: Path
)

/** The run of [seed] with [trafficMillis] of faults; logs go to [directory]. */
class SoakRun(
    private val seed: Long,
    private val trafficMillis: Long,
    private val directory: Path
) {
    private val startNanos = System.nanoTime()
    private val net = "127.${NET_FIRST + Math.floorMod(seed, NETS)}." +
        "${Math.floorMod(ProcessHandle.current().pid(), NETS)}"
    private val limits = PromiseLimits(
        endpointsMax = 2,
        revocationMillis = REVOCATION_MILLIS,
        versionMillis = VERSION_MILLIS,
        drainMillis = DRAIN_MILLIS
    )
    private val ledger = SoakLedger(limits)
    private val store = ObjectStoreService()
    private val origin = OriginService(SOAK_MODEL)
    private val endpoints = List(PLAIN + ENGINES) {
        val host = if (it < PLAIN) "$net.${PLAIN_HOST + it}" else agentHost(it - PLAIN)
        SoakEndpoint(it, host, it >= PLAIN, store, ledger, ::nowMillis)
    }
    private val storeLinks = List(ENTRIES + ENGINES) {
        FaultProxy(processHost(it), STORE_PORT) { store.socketAddress }
    }
    private val processes = List(ENTRIES + ENGINES) {
        SoakProcess("process-$it", directory, settings(it))
    }
    private val plan = soakPlan(
        seed,
        trafficMillis,
        SoakTargets(ENTRIES, ENGINES, endpoints.size)
    )
    private val faulty = List(processes.size) { AtomicLong() }
    private val linkFaults = endpoints.map { AtomicLong() }
    private val storeDowns = AtomicLong()
    private val originDowns = AtomicLong()
    private val keys = CopyOnWriteArrayList(listOf("key-0", "key-1"))
    private val offered = CopyOnWriteArrayList(keys)
    private var configurations = 0
    private var weightVersion = 1L

    @Volatile
    private var isOver = false

    private fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    private fun processHost(index: Int) =
        if (index < ENTRIES) "$net.${ENTRY_HOST + index}" else agentHost(index - ENTRIES)

    private fun agentHost(index: Int) = "$net.${AGENT_HOST + index}"

    private fun entryAddress(index: Int) = InetSocketAddress(processHost(index), CALLERS_PORT)

    private fun settings(index: Int): String {
        val host = processHost(index)
        val isEntry = index < ENTRIES
        val role = if (isEntry) {
            "callers = $host:$CALLERS_PORT\nreadiness = $host:${CALLERS_PORT + 1}\n"
        } else {
            ""
        }
        val engine = if (isEntry) {
            ""
        } else {
            val address = endpoints[PLAIN + index - ENTRIES].engineAddress
            "[engine]\naddress = $address\nservice = $ENGINE_SERVICE\n"
        }
        return "[node]\nrole = ${if (isEntry) "entry" else "agent"}\nvm = process-$index\n" +
            "host = $host\nzone = z\nregion = r\nzone-regions = z:r\n" +
            "[addresses]\n${role}peer-port = $PEER_PORT\n" +
            "[store]\naddress = $host:$STORE_PORT\n$engine" +
            "[bounds]\ndrain-millis = $DRAIN_MILLIS\ngrace-seconds = $GRACE_SECONDS\n" +
            "revocation-millis = $REVOCATION_MILLIS\nevacuation-millis = 5000\n" +
            "version-millis = $VERSION_MILLIS\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n"
    }

    /** Runs to the end. */
    fun run(): SoakResult {
        // A run that is interrupted leaves no process behind.
        val cleanup = Thread(::killAll)
        Runtime.getRuntime().addShutdownHook(cleanup)
        try {
            publishConfiguration()
            store.put("versions", SOAK_MODEL, """{"model":"$SOAK_MODEL","version":1}""")
            processes.forEach { it.start() }
            background { listEndpoints() }
            Thread.sleep(START_MILLIS)
            val startMillis = nowMillis()
            noteFaults()
            val callers = List(CALLERS) { index -> background { callUntilOver(index) } }
            val faults = plan.map { background { play(it, startMillis) } }
            faults.forEach { it.join() }
            Thread.sleep(RECOVERY_MILLIS)
            isOver = true
            callers.forEach { it.join() }
            return result(probe(), startMillis)
        } finally {
            isOver = true
            killAll()
            Runtime.getRuntime().removeShutdownHook(cleanup)
            (endpoints + storeLinks + listOf(store, origin)).forEach { it.close() }
        }
    }

    // With the times that the processes' logs have.
    private fun noteFaults() {
        val startMillis = System.currentTimeMillis()
        val lines = plan.map { "${startMillis + it.atMillis} $it" }
        Files.write(directory.resolve("faults.txt"), lines)
    }

    private fun killAll() = processes.forEach { it.signal("KILL") }

    private fun background(action: () -> Unit) = thread(isDaemon = true) { action() }

    private fun listEndpoints() {
        while (!isOver) {
            endpoints.forEach { it.list() }
            Thread.sleep(LIST_MILLIS)
        }
    }

    private fun callUntilOver(index: Int) {
        val entry = index % ENTRIES
        val random = Random(seed * CALLERS + index)
        val caller =
            SoakCaller(entry, entryAddress(entry), ledger, ::nowMillis, { offered }, random)
        while (!isOver) {
            caller.callOnce()
            Thread.sleep(random.nextLong(THINK_MAX_MILLIS))
        }
    }

    @Synchronized
    private fun publishConfiguration() {
        val routes = listOf(
            route(CallShape.REPEATABLE, "idempotent", PLAIN_SERVICE, limits.endpointsMax),
            route(CallShape.ONCE, "non_idempotent", PLAIN_SERVICE, 1),
            route(CallShape.STREAM, "streaming", ENGINE_SERVICE, limits.endpointsMax)
        )
        val document = ConfigurationDocument(
            ++configurations,
            routes,
            SOAK_MODEL,
            origin.address,
            SoakLedger.ORGANISATION,
            keys
        )
        store.put("config", "main", document.json())
    }

    private fun route(shape: CallShape, kind: String, service: String, endpointsMax: Int) =
        RouteDocument(SOAK_HOST, shape.path, kind, service, endpointsMax)

    @Synchronized
    private fun revokeKey() {
        val old = keys.removeAt(0)
        keys += "key-${configurations + 1}"
        publishConfiguration()
        ledger.onRevoked(old, nowMillis())
        // Callers go on with the old key for a while, so that its refusal is seen.
        offered += keys.last()
        if (offered.size > OFFERED_MAX) offered.removeAt(0)
    }

    @Synchronized
    private fun nameVersion() {
        weightVersion++
        val content = """{"model":"$SOAK_MODEL","version":$weightVersion}"""
        store.put("versions", SOAK_MODEL, content)
        ledger.onNamed(weightVersion, nowMillis())
    }

    private fun play(fault: SoakFault, startMillis: Long) {
        Thread.sleep(maxOf(0, startMillis + fault.atMillis - nowMillis()))
        when (fault.kind.target) {
            TargetKind.PROCESS -> playOnProcess(fault)
            TargetKind.ENDPOINT -> playOnEndpoint(fault, endpoints[fault.target])
            TargetKind.SHARED -> playShared(fault)
        }
    }

    private fun playOnProcess(fault: SoakFault) {
        val process = processes[fault.target]
        when (fault.kind) {
            FaultKind.PAUSE -> {
                process.signal("STOP")
                Thread.sleep(fault.lastsMillis)
                process.signal("CONT")
            }
            FaultKind.RELOAD -> process.signal("HUP")
            FaultKind.STORE_LINK -> hold(faulty[fault.target], fault.lastsMillis) { isOn ->
                storeLinks[fault.target].mode = if (isOn) fault.mode else LinkMode.SOUND
            }
            else -> restart(process, fault)
        }
    }

    private fun restart(process: SoakProcess, fault: SoakFault) = synchronized(process) {
        val isKill = fault.kind == FaultKind.KILL
        process.signal(if (isKill) "KILL" else "TERM")
        if (!process.awaitEnd(GRACE_SECONDS * MILLIS_PER_SECOND)) process.signal("KILL")
        process.awaitEnd(GRACE_SECONDS * MILLIS_PER_SECOND)
        process.endFault()?.let { ledger.onBroken("ended by itself", it) }
        if (isKill) Thread.sleep(fault.lastsMillis)
        process.start()
    }

    private fun playOnEndpoint(fault: SoakFault, endpoint: SoakEndpoint) = when (fault.kind) {
        FaultKind.ENDPOINT_LINK -> hold(linkFaults[fault.target], fault.lastsMillis) { isOn ->
            endpoint.link.mode = if (isOn) fault.mode else LinkMode.SOUND
        }
        FaultKind.CRASH -> endpoint.crash(fault.lastsMillis)
        FaultKind.DRAIN -> endpoint.drain(DRAIN_MILLIS + fault.lastsMillis)
        else -> endpoint.spoilStaged()
    }

    private fun playShared(fault: SoakFault) = when (fault.kind) {
        FaultKind.STORE_DOWN -> hold(storeDowns, fault.lastsMillis) { store.isDown = it }
        FaultKind.ORIGIN_DOWN -> hold(originDowns, fault.lastsMillis) { origin.isDown = it }
        FaultKind.STORE_COMPACTED -> store.compact()
        FaultKind.KEY_REVOKED -> revokeKey()
        else -> nameVersion()
    }

    // Faults of the same target overlap; the last to end mends it.
    private fun hold(active: AtomicLong, lastsMillis: Long, set: (Boolean) -> Unit) {
        active.incrementAndGet()
        set(true)
        Thread.sleep(lastsMillis)
        if (active.decrementAndGet() == 0L) set(false)
    }

    // Once all faults are over, each entry serves each kind of request again.
    private fun probe(): Double {
        val fromMillis = nowMillis()
        repeat(ENTRIES) { entry ->
            val random = Random(seed + entry)
            val caller =
                SoakCaller(entry, entryAddress(entry), ledger, ::nowMillis, { keys }, random)
            repeat(PROBES) { CallShape.entries.forEach(caller::callOnce) }
            caller.disconnect()
        }
        val worst = CallShape.entries.minOf { ledger.servedShare(it, fromMillis) }
        if (worst < SERVED_MIN) ledger.onBroken("recovery", "$worst of the last calls of a kind")
        return worst
    }

    private fun result(recoveredShare: Double, startMillis: Long): SoakResult {
        processes.forEach { process ->
            process.endFault()?.let { ledger.onBroken("ended by itself", it) }
            if (!process.isAlive) ledger.onBroken("ended by itself", "${process.name} is gone")
        }
        val calm = SoakCalm(plan, CalmLimits(SETTLE_MILLIS, GRACE_SECONDS * MILLIS_PER_SECOND))
        val question = CalmQuestion { entry, place, fromMillis, toMillis ->
            calm.isCalm(entry, place, fromMillis - startMillis, toMillis - startMillis)
        }
        return SoakResult(
            seed,
            plan.size,
            ledger.counts(),
            recoveredShare,
            ledger.boundsChecked(ENTRIES, PLAIN until endpoints.size, question),
            ledger.verdict(question),
            directory
        )
    }

    private companion object {
        const val NET_FIRST = 20
        const val NETS = 200
        const val ENTRIES = 2
        const val ENGINES = 3
        const val PLAIN = 2
        const val ENTRY_HOST = 1
        const val AGENT_HOST = 11
        const val PLAIN_HOST = 21

        // Below the ports that the system gives to outgoing connections.
        const val CALLERS_PORT = 17_701
        const val PEER_PORT = 17_703
        const val STORE_PORT = 17_706
        const val CALLERS = 12
        const val THINK_MAX_MILLIS = 120L
        const val OFFERED_MAX = 3
        const val PROBES = 4

        // A listing follows a change within a heartbeat.
        const val LIST_MILLIS = 400L
        const val START_MILLIS = 4000L

        // Stated in the promises: bounds of the operator, the time in which a process settles after
        // a fault, the time of recovery, and the share that is served then.
        const val REVOCATION_MILLIS = 5000L
        const val DRAIN_MILLIS = 3000L
        const val VERSION_MILLIS = 8000L
        const val GRACE_SECONDS = 8L
        const val SETTLE_MILLIS = 4000L
        const val RECOVERY_MILLIS = 15_000L
        const val SERVED_MIN = 0.25
        const val MILLIS_PER_SECOND = 1000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
