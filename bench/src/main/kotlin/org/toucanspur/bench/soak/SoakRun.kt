/*
 * One soak run: entries and agents run as separate processes between stand-ins, under continuous
 * calls and the faults of a seed. The verdict is based on what callers and endpoints observed.
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
 * Result of a run. [recoveredShare] is the served fraction of the worst-served kind of request
 * after the last fault; [boundsChecked] is the number of bounds that applied.
 */
data class SoakResult(
    val seed: Long,
    val faults: Int,
    val outcomes: Map<CallOutcome, Int>,
    val recoveredShare: Double,
    val boundsChecked: Int,
    val violations: List<Violation>,
    val directory: Path
)

/** A run that injects the faults of [seed] for [trafficMillis]; logs go to [directory]. */
class SoakRun(
    private val seed: Long,
    private val trafficMillis: Long,
    private val directory: Path
) {
    private val startNanos = System.nanoTime()
    private val subnet = "127.${FIRST_SUBNET + Math.floorMod(seed, SUBNETS)}." +
        "${Math.floorMod(ProcessHandle.current().pid(), SUBNETS)}"
    private val limits = GuaranteeLimits(
        endpointsMax = 2,
        revocationMillis = REVOCATION_MILLIS,
        versionMillis = VERSION_MILLIS,
        drainMillis = DRAIN_MILLIS
    )
    private val observations = SoakObservations(limits)
    private val store = ObjectStoreService()
    private val origin = OriginService(SOAK_MODEL)
    private val endpoints = List(PLAIN_ENDPOINTS + ENGINES) {
        val host = if (it < PLAIN_ENDPOINTS) {
            "$subnet.${PLAIN_HOST + it}"
        } else {
            agentHost(it - PLAIN_ENDPOINTS)
        }
        SoakEndpoint(it, host, it >= PLAIN_ENDPOINTS, store, observations, ::nowMillis)
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
    private val storeLinkFaults = List(processes.size) { AtomicLong() }
    private val endpointLinkFaults = endpoints.map { AtomicLong() }
    private val storeOutages = AtomicLong()
    private val originOutages = AtomicLong()
    private val keys = CopyOnWriteArrayList(listOf("key-0", "key-1"))
    private val callerKeys = CopyOnWriteArrayList(keys)
    private var configurationVersion = 0
    private var weightVersion = 1L

    @Volatile
    private var isFinished = false

    private fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    private fun processHost(index: Int) =
        if (index < ENTRIES) "$subnet.${ENTRY_HOST + index}" else agentHost(index - ENTRIES)

    private fun agentHost(index: Int) = "$subnet.${AGENT_HOST + index}"

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
            val address = endpoints[PLAIN_ENDPOINTS + index - ENTRIES].engineAddress
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

    /** Starts the processes, injects the faults and returns the result. */
    fun run(): SoakResult {
        // Kills the child processes if the run is interrupted.
        val cleanup = Thread(::killAll)
        Runtime.getRuntime().addShutdownHook(cleanup)
        try {
            publishConfiguration()
            store.put("versions", SOAK_MODEL, """{"model":"$SOAK_MODEL","version":1}""")
            processes.forEach { it.start() }
            background { publishEndpointsPeriodically() }
            Thread.sleep(STARTUP_MILLIS)
            val startMillis = nowMillis()
            writeFaultPlan()
            val callers = List(CALLERS) { index -> background { callUntilFinished(index) } }
            val faults = plan.map { background { inject(it, startMillis) } }
            faults.forEach { it.join() }
            Thread.sleep(RECOVERY_MILLIS)
            isFinished = true
            callers.forEach { it.join() }
            return result(probe(), startMillis)
        } finally {
            isFinished = true
            killAll()
            Runtime.getRuntime().removeShutdownHook(cleanup)
            (endpoints + storeLinks + listOf(store, origin)).forEach { it.close() }
        }
    }

    // Uses wall-clock times, so that faults can be matched with the logs of the processes.
    private fun writeFaultPlan() {
        val startMillis = System.currentTimeMillis()
        val lines = plan.map { "${startMillis + it.atMillis} $it" }
        Files.write(directory.resolve("faults.txt"), lines)
    }

    private fun killAll() = processes.forEach { it.signal("KILL") }

    private fun background(action: () -> Unit) = thread(isDaemon = true) { action() }

    private fun publishEndpointsPeriodically() {
        while (!isFinished) {
            endpoints.forEach { it.publishListEntry() }
            Thread.sleep(LIST_INTERVAL_MILLIS)
        }
    }

    private fun callUntilFinished(index: Int) {
        val entry = index % ENTRIES
        val random = Random(seed * CALLERS + index)
        val caller =
            SoakCaller(
                entry,
                entryAddress(entry),
                observations,
                ::nowMillis,
                { callerKeys },
                random
            )
        while (!isFinished) {
            caller.callOnce()
            Thread.sleep(random.nextLong(MAX_THINK_MILLIS))
        }
    }

    @Synchronized
    private fun publishConfiguration() {
        val routes = listOf(
            route(CallKind.IDEMPOTENT, "idempotent", PLAIN_SERVICE, limits.endpointsMax),
            route(CallKind.AT_MOST_ONCE, "non_idempotent", PLAIN_SERVICE, 1),
            route(CallKind.STREAM, "streaming", ENGINE_SERVICE, limits.endpointsMax)
        )
        val document = ConfigurationDocument(
            ++configurationVersion,
            routes,
            SOAK_MODEL,
            origin.address,
            SoakObservations.ORGANISATION,
            keys
        )
        store.put("config", "main", document.json())
    }

    private fun route(kind: CallKind, platformKind: String, service: String, endpointsMax: Int) =
        RouteDocument(SOAK_HOST, kind.path, platformKind, service, endpointsMax)

    @Synchronized
    private fun revokeKey() {
        val old = keys.removeAt(0)
        keys += "key-${configurationVersion + 1}"
        publishConfiguration()
        observations.onRevoked(old, nowMillis())
        // Callers keep using the old key for a while, so that the run observes its rejection.
        callerKeys += keys.last()
        if (callerKeys.size > MAX_CALLER_KEYS) callerKeys.removeAt(0)
    }

    @Synchronized
    private fun setNextTargetVersion() {
        weightVersion++
        val content = """{"model":"$SOAK_MODEL","version":$weightVersion}"""
        store.put("versions", SOAK_MODEL, content)
        observations.onTargetVersionSet(weightVersion, nowMillis())
    }

    private fun inject(fault: SoakFault, startMillis: Long) {
        Thread.sleep(maxOf(0, startMillis + fault.atMillis - nowMillis()))
        when (fault.kind.target) {
            TargetKind.PROCESS -> injectIntoProcess(fault)
            TargetKind.ENDPOINT -> injectIntoEndpoint(fault, endpoints[fault.target])
            TargetKind.SHARED -> injectShared(fault)
        }
    }

    private fun injectIntoProcess(fault: SoakFault) {
        val process = processes[fault.target]
        when (fault.kind) {
            FaultKind.PAUSE -> {
                process.signal("STOP")
                Thread.sleep(fault.lastsMillis)
                process.signal("CONT")
            }
            FaultKind.RELOAD -> process.signal("HUP")
            FaultKind.STORE_LINK -> applyFor(
                storeLinkFaults[fault.target],
                fault.lastsMillis
            ) { isActive ->
                storeLinks[fault.target].mode = if (isActive) fault.mode else LinkMode.NORMAL
            }
            else -> restart(process, fault)
        }
    }

    private fun restart(process: SoakProcess, fault: SoakFault) = synchronized(process) {
        val isKill = fault.kind == FaultKind.KILL
        process.signal(if (isKill) "KILL" else "TERM")
        if (!process.awaitExit(GRACE_SECONDS * MILLIS_PER_SECOND)) process.signal("KILL")
        process.awaitExit(GRACE_SECONDS * MILLIS_PER_SECOND)
        process.exitFault()?.let { observations.onViolation("unexpected exit", it) }
        if (isKill) Thread.sleep(fault.lastsMillis)
        process.start()
    }

    private fun injectIntoEndpoint(fault: SoakFault, endpoint: SoakEndpoint) = when (fault.kind) {
        FaultKind.ENDPOINT_LINK -> applyFor(
            endpointLinkFaults[fault.target],
            fault.lastsMillis
        ) { isActive ->
            endpoint.link.mode = if (isActive) fault.mode else LinkMode.NORMAL
        }
        FaultKind.CRASH -> endpoint.crash(fault.lastsMillis)
        FaultKind.DRAIN -> endpoint.drain(DRAIN_MILLIS + fault.lastsMillis)
        else -> endpoint.corruptStagedPiece()
    }

    private fun injectShared(fault: SoakFault) = when (fault.kind) {
        FaultKind.STORE_DOWN -> applyFor(storeOutages, fault.lastsMillis) { store.isDown = it }
        FaultKind.ORIGIN_DOWN -> applyFor(originOutages, fault.lastsMillis) { origin.isDown = it }
        FaultKind.STORE_COMPACTED -> store.compact()
        FaultKind.KEY_REVOKED -> revokeKey()
        else -> setNextTargetVersion()
    }

    // Faults of the same target can overlap; the last one to end restores normal operation.
    private fun applyFor(active: AtomicLong, lastsMillis: Long, set: (Boolean) -> Unit) {
        active.incrementAndGet()
        set(true)
        Thread.sleep(lastsMillis)
        if (active.decrementAndGet() == 0L) set(false)
    }

    // After the last fault, each entry must serve each kind of request again.
    private fun probe(): Double {
        val fromMillis = nowMillis()
        repeat(ENTRIES) { entry ->
            val random = Random(seed + entry)
            val caller =
                SoakCaller(entry, entryAddress(entry), observations, ::nowMillis, { keys }, random)
            repeat(PROBES) { CallKind.entries.forEach(caller::callOnce) }
            caller.disconnect()
        }
        val worst = CallKind.entries.minOf { observations.servedShare(it, fromMillis) }
        if (worst < MIN_SERVED_SHARE) {
            observations.onViolation(
                "recovery",
                "only $worst of the calls of a kind were served after the last fault"
            )
        }
        return worst
    }

    private fun result(recoveredShare: Double, startMillis: Long): SoakResult {
        processes.forEach { process ->
            process.exitFault()?.let { observations.onViolation("unexpected exit", it) }
            if (!process.isAlive) {
                observations.onViolation("unexpected exit", "${process.name} is not running")
            }
        }
        val disturbances = SoakDisturbances(
            plan,
            SettleLimits(SETTLE_MILLIS, GRACE_SECONDS * MILLIS_PER_SECOND)
        )
        val undisturbed = UndisturbedCheck { entry, endpoint, fromMillis, toMillis ->
            disturbances.isUndisturbed(
                entry,
                endpoint,
                fromMillis - startMillis,
                toMillis - startMillis
            )
        }
        return SoakResult(
            seed,
            plan.size,
            observations.counts(),
            recoveredShare,
            observations.boundsChecked(ENTRIES, PLAIN_ENDPOINTS until endpoints.size, undisturbed),
            observations.verdict(undisturbed),
            directory
        )
    }

    private companion object {
        const val FIRST_SUBNET = 20
        const val SUBNETS = 200
        const val ENTRIES = 2
        const val ENGINES = 3
        const val PLAIN_ENDPOINTS = 2
        const val ENTRY_HOST = 1
        const val AGENT_HOST = 11
        const val PLAIN_HOST = 21

        // Below the ephemeral port range of the operating system.
        const val CALLERS_PORT = 17_701
        const val PEER_PORT = 17_703
        const val STORE_PORT = 17_706
        const val CALLERS = 12
        const val MAX_THINK_MILLIS = 120L
        const val MAX_CALLER_KEYS = 3
        const val PROBES = 4

        // Endpoint changes appear in the list within a heartbeat.
        const val LIST_INTERVAL_MILLIS = 400L
        const val STARTUP_MILLIS = 4000L

        // Part of the stated guarantees: the operator's bounds, the settle time of a process after
        // a fault, the recovery time, and the fraction of calls that must be served after it.
        const val REVOCATION_MILLIS = 5000L
        const val DRAIN_MILLIS = 3000L
        const val VERSION_MILLIS = 8000L
        const val GRACE_SECONDS = 8L
        const val SETTLE_MILLIS = 4000L
        const val RECOVERY_MILLIS = 15_000L
        const val MIN_SERVED_SHARE = 0.25
        const val MILLIS_PER_SECOND = 1000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
