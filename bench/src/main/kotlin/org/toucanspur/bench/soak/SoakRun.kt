/*
 * One soak run: entries and agents run as separate processes between stand-ins, under continuous
 * calls and the faults of a seed. The verdict is based on what callers and endpoints observed.
 */
package org.toucanspur.bench.soak

import java.net.InetSocketAddress
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random
import org.toucanspur.standin.platform.ConfigurationDocument
import org.toucanspur.standin.platform.ConnectionTimeoutsDocument
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.OperationsService
import org.toucanspur.standin.platform.OriginService
import org.toucanspur.standin.platform.PLAIN_SERVICE
import org.toucanspur.standin.platform.RouteDocument

/**
 * Result of a run. [recoveredShare] is the served fraction of the worst-served kind of request
 * after the last fault; [boundsChecked] is the number of bounds that applied; [crossed] that of
 * requests that crossed the close of their connection.
 */
data class SoakResult(
    val seed: Long,
    val faults: Int,
    val outcomes: Map<CallOutcome, Int>,
    val recoveredShare: Double,
    val boundsChecked: Int,
    val crossed: Int,
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
    private val store = ObjectStoreService(PAGE_ITEMS)
    private val origin = OriginService(SOAK_MODEL, CORRUPT_ONE_IN)
    private val operations = OperationsService(LEASE_MILLIS)
    private val endpoints = List(PLAIN_ENDPOINTS + ENGINES) {
        val isPlain = it < PLAIN_ENDPOINTS
        val host = if (isPlain) "$subnet.${PLAIN_HOST + it}" else agentHost(it - PLAIN_ENDPOINTS)
        val service = if (isPlain) PLAIN_SERVICE else ENGINE_SERVICE
        SoakEndpoint(it, host, service, store, observations, ::nowMillis)
    }

    // No target of faults; takes the requests of routes that are moved.
    private val otherEndpoint = SoakEndpoint(
        endpoints.size,
        "$subnet.${PLAIN_HOST + PLAIN_ENDPOINTS}",
        OTHER_SERVICE,
        store,
        observations,
        ::nowMillis
    )
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

    // The faults with the times at which they started and ended.
    private val injected = ConcurrentLinkedQueue<SoakFault>()
    private val configurationFaults = ArrayList<SoakFault>()
    private val storeLinkFaults = List(processes.size) { AtomicLong() }
    private val endpointLinkFaults = endpoints.map { AtomicLong() }
    private val storeOutages = AtomicLong()
    private val originOutages = AtomicLong()
    private val keys = CopyOnWriteArrayList(listOf("key-0", "key-1"))
    private val callerKeys = CopyOnWriteArrayList(keys)
    private var configurationVersion = 0

    @Volatile
    private var idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS

    // Time-outs of the routes, with the times at which they were published.
    private val routeTimeouts = ConcurrentLinkedQueue<Pair<Long, Long>>()
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
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n" +
            "[duties]\naddress = ${operations.address}\nduties = usage_report,scaling\n" +
            "calls-per-second = 50\nlease-millis = $LEASE_MILLIS\n"
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
            (endpoints + otherEndpoint + storeLinks + listOf(store, origin, operations)).forEach {
                it.close()
            }
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
            (endpoints + otherEndpoint).forEach { it.publishListEntry() }
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
            ) { minOf(idleTimeoutMillis * IDLE_REUSE_PERCENT / PERCENT, MAX_IDLE_MILLIS) }
        while (!isFinished) {
            if (isPlannedWorkSeed(seed)) {
                caller.callIn(CallManner.entries.random(random))
            } else {
                caller.callOnce()
            }
            Thread.sleep(random.nextLong(MAX_THINK_MILLIS))
        }
    }

    @Synchronized
    private fun publishConfiguration() {
        val timeoutMillis = value(FaultKind.ROUTE_TIMEOUT, routeTimeoutsMillis)
            ?: DEFAULT_ROUTE_TIMEOUT_MILLIS
        routeTimeouts += nowMillis() to timeoutMillis
        val plainService = if (isChanged(FaultKind.ROUTE_MOVED)) OTHER_SERVICE else PLAIN_SERVICE
        val added = if (isChanged(FaultKind.ROUTES_ADDED)) ADDED_ROUTES else 0
        val routes = listOf(
            route(CallKind.IDEMPOTENT, "idempotent", plainService, limits.endpointsMax),
            route(CallKind.AT_MOST_ONCE, "non_idempotent", plainService, 1),
            route(CallKind.STREAM, "streaming", ENGINE_SERVICE, limits.endpointsMax)
        ) + List(added) {
            RouteDocument("host-$it.example", "/added/$it/", "idempotent", PLAIN_SERVICE, 1)
        }
        idleTimeoutMillis = value(FaultKind.IDLE_TIMEOUT, idleTimeoutsMillis)
            ?: DEFAULT_IDLE_TIMEOUT_MILLIS
        val headerMillis = value(FaultKind.HEADER_TIMEOUT, headerTimeoutsMillis)
            ?: DEFAULT_HEADER_TIMEOUT_MILLIS
        val document = ConfigurationDocument(
            ++configurationVersion,
            routes,
            SOAK_MODEL,
            origin.address,
            SoakObservations.ORGANISATION,
            keys,
            ConnectionTimeoutsDocument(idleTimeoutMillis, headerMillis),
            listOf(PLAIN_SERVICE, OTHER_SERVICE)
        )
        store.put("config", "main", document.json())
    }

    private fun isChanged(kind: FaultKind) = configurationFaults.any { it.kind == kind }

    // The latest of several changes that overlap is in force.
    private fun value(kind: FaultKind, values: List<Long>): Long? =
        configurationFaults.lastOrNull { it.kind == kind }?.let { values[it.target] }

    private fun route(
        kind: CallKind,
        platformKind: String,
        service: String,
        endpointsMax: Int
    ): RouteDocument {
        val timeoutMillis = checkNotNull(routeTimeouts.lastOrNull()).second
        return RouteDocument(
            SOAK_HOST,
            kind.path,
            platformKind,
            service,
            endpointsMax,
            timeoutMillis
        )
    }

    @Synchronized
    private fun setConfigurationFault(fault: SoakFault, isActive: Boolean) {
        if (isActive) configurationFaults += fault else configurationFaults -= fault
        publishConfiguration()
    }

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
        val atMillis = nowMillis() - startMillis
        // Recorded before its end, because it affects requests that end before that.
        val isProcessEnd = fault.kind == FaultKind.KILL || fault.kind == FaultKind.TERMINATE
        if (!isProcessEnd) injected += fault.copy(atMillis = atMillis)
        when (fault.kind.target) {
            TargetKind.PROCESS -> injectIntoProcess(fault, startMillis)
            TargetKind.ENDPOINT -> injectIntoEndpoint(fault, endpoints[fault.target])
            TargetKind.SHARED -> injectShared(fault)
        }
    }

    private fun injectIntoProcess(fault: SoakFault, startMillis: Long) {
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
            else -> restart(process, fault, startMillis)
        }
    }

    private fun restart(process: SoakProcess, fault: SoakFault, startMillis: Long) =
        synchronized(process) {
            val isKill = fault.kind == FaultKind.KILL
            val atMillis = nowMillis() - startMillis
            injected += fault.copy(atMillis = atMillis)
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
        FaultKind.SILENCE -> endpoint.link.interruptOnce()
        FaultKind.CRASH -> endpoint.crash(fault.lastsMillis)
        FaultKind.DRAIN -> endpoint.drain(DRAIN_MILLIS + fault.lastsMillis)
        else -> endpoint.corruptStagedPiece()
    }

    private fun injectShared(fault: SoakFault) = when (fault.kind) {
        FaultKind.STORE_DOWN -> applyFor(storeOutages, fault.lastsMillis) { store.isDown = it }
        FaultKind.ORIGIN_DOWN -> applyFor(originOutages, fault.lastsMillis) { origin.isDown = it }
        FaultKind.STORE_COMPACTED -> store.compact()
        FaultKind.KEY_REVOKED -> revokeKey()
        in configurationKinds -> {
            setConfigurationFault(fault, isActive = true)
            Thread.sleep(fault.lastsMillis)
            setConfigurationFault(fault, isActive = false)
        }
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
        val actual = SoakDisturbances(
            injected.toList(),
            SettleLimits(SETTLE_MILLIS, GRACE_SECONDS * MILLIS_PER_SECOND)
        )
        val excuse = LossExcuse { call, response, runs ->
            val isBegun = response.end == CallEnd.CUT || response.status != 0
            val deadlineMillis = minOf(routeTimeoutMillis(call, response), DEADLINE_MILLIS.toLong())
            val isDeadlineReached = response.atMillis - response.sentMillis >= deadlineMillis
            val incomplete = IncompleteResponse(
                call.entry,
                runs.map { it.endpointIndex }.toSet(),
                isBegun,
                call.atMillis - startMillis,
                response.atMillis - startMillis
            )
            isBegun && isDeadlineReached || actual.excuses(incomplete)
        }
        operations.violations.forEach { observations.onViolation("order of duties", it) }
        return SoakResult(
            seed,
            plan.size,
            observations.counts(),
            recoveredShare,
            observations.boundsChecked(ENTRIES, PLAIN_ENDPOINTS until endpoints.size, undisturbed),
            observations.crossedCount(),
            observations.verdict(excuse, undisturbed),
            directory
        )
    }

    // Shortest time-out that may have been in force when the entry read the request of the call.
    private fun routeTimeoutMillis(call: SentCall, response: CallerResponse): Long {
        val published = routeTimeouts.toList()
        return published.mapIndexed { index, (fromMillis, timeoutMillis) ->
            val untilMillis = published.getOrNull(index + 1)?.first ?: response.atMillis
            val isPossible =
                fromMillis <= response.atMillis && untilMillis + APPLY_MILLIS >= call.atMillis
            if (isPossible) timeoutMillis else Long.MAX_VALUE
        }.min()
    }

    private companion object {
        const val FIRST_SUBNET = 20
        const val SUBNETS = 200
        const val ENTRIES = 2
        const val ENGINES = 3
        const val PLAIN_ENDPOINTS = 2

        // Less than there are endpoints, so that their listings have pages.
        const val PAGE_ITEMS = 2
        const val CORRUPT_ONE_IN = 10
        const val OTHER_SERVICE = "other"
        const val ADDED_ROUTES = 600
        const val DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000L
        const val DEFAULT_HEADER_TIMEOUT_MILLIS = 3000L
        const val DEFAULT_ROUTE_TIMEOUT_MILLIS = 5000L
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

        // Callers reuse a connection that has been idle for up to four fifths of the limit.
        const val IDLE_REUSE_PERCENT = 80
        const val PERCENT = 100
        const val MAX_IDLE_MILLIS = 4000L
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
        const val LEASE_MILLIS = 3000L
        const val SETTLE_MILLIS = 4000L
        const val APPLY_MILLIS = 2000L
        const val RECOVERY_MILLIS = 15_000L
        const val MIN_SERVED_SHARE = 0.25
        const val MILLIS_PER_SECOND = 1000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
