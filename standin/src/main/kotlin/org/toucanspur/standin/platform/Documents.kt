/*
 * Documents that the platform's operator and endpoints write to its store, and the HTTP requests
 * of callers.
 */
package org.toucanspur.standin.platform

/** Header with the id of a request, in the request and in its response. */
const val REQUEST_ID_HEADER = "X-Attempt-Identifier"

/** Header with an endpoint's signature of its response. */
const val SIGNATURE_HEADER = "X-Response-Seal"

/** Header with the weight version on which a response began. */
const val WEIGHT_VERSION_HEADER = "X-Weight-Versions"

/** A request that a caller sends on an open connection. */
class CallerRequest(val id: String, val host: String, val path: String, val key: String) {
    /** Encodes the request, with a deadline of [deadlineMillis]. */
    fun bytes(deadlineMillis: Int): ByteArray = (
        "POST $path HTTP/1.1\r\nHost: $host\r\n$REQUEST_ID_HEADER: $id\r\n" +
            "Authorization: Bearer $key\r\nX-Deadline-Remaining: $deadlineMillis\r\n" +
            "X-Model: m\r\nX-Token-Counts: 900,100\r\nContent-Length: 2\r\n\r\n{}"
        ).encodeToByteArray()
}

/** A route as the operator writes it; [kind] is the platform's name for the kind of request. */
class RouteDocument(
    private val host: String,
    private val prefix: String,
    private val kind: String,
    private val service: String,
    private val endpointsMax: Int,
    private val timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS
) {
    /** The route in JSON. */
    fun json(): String = """{"name":"$prefix","host":"$host","path-prefix":"$prefix",""" +
        """"kind":"$kind","timeout-ms":$timeoutMillis,"target-latency-ms":400,"priority":1,""" +
        """"service":"$service","attempts":$endpointsMax,"can-resume":true}"""

    private companion object {
        const val DEFAULT_TIMEOUT_MILLIS = 5000L
    }
}

/** Time-outs of callers' connections as the operator writes them. */
class ConnectionTimeoutsDocument(private val idleMillis: Long, private val headerMillis: Long) {
    /** The time-outs in JSON. */
    fun json(): String = """{"header-timeout-ms":$headerMillis,"idle-timeout-ms":$idleMillis}"""
}

/** A configuration with [plainServices], an engine service for [model] and a weight origin. */
class ConfigurationDocument(
    private val version: Int,
    private val routes: List<RouteDocument>,
    private val model: String,
    private val originAddress: String,
    private val organisation: String,
    private val keys: List<String>,
    private val timeouts: ConnectionTimeoutsDocument? = null,
    private val plainServices: List<String> = listOf(PLAIN_SERVICE)
) {
    /** The configuration in JSON. */
    fun json(): String {
        val engineParameters = """{"slots":12,"step_ms":7.4,"read_per_s":31900.0,"stride":6,""" +
            """"usual":{"prompt":900,"answer":100},"models":[{"name":"$model"}]}"""
        val quoted = keys.joinToString(",") { "\"$it\"" }
        val limits = timeouts?.let { """"limits":${it.json()},""" }.orEmpty()
        val plain = plainServices.joinToString("") { """{"name":"$it","connection-limit":100},""" }
        return """{"version":$version,$limits"routes":[${routes.joinToString(",") { it.json() }}],
            "services":[$plain
            {"name":"$ENGINE_SERVICE","connection-limit":100,"engine":$engineParameters},
            {"name":"weights","origin":"$originAddress","zone":"z","connection-limit":20}],
            "tenants":[{"name":"$organisation","api-keys":[$quoted]}]}"""
    }
}

/** Name of the plain service in a [ConfigurationDocument]. */
const val PLAIN_SERVICE = "plain"

/** Name of the engine service in a [ConfigurationDocument]. */
const val ENGINE_SERVICE = "llm"

/** JSON of the server list entry for [address]; [engine] is null for a plain endpoint. */
fun endpointDocument(
    service: String,
    address: String,
    state: String,
    engine: ModelEngineService?
): String {
    val engineFields = engine?.let { ""","models":${it.modelsJson},"born":${it.startedAtMillis}""" }
    return """{"service":"$service","address":"$address","zone":"z","version":"v1","slots":12,""" +
        """"state":"$state","cold-remaining-ms":0,"sequence":1${engineFields.orEmpty()}}"""
}
