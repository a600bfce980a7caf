/*
 * What the platform's operator and endpoints write to its store, and how callers ask.
 */
package org.toucanspur.standin.platform

/** Header of a request's id, also in its answer. */
const val REQUEST_ID_HEADER = "X-Attempt-Identifier"

/** Header of an endpoint's signature on an answer. */
const val SEAL_HEADER = "X-Response-Seal"

/** A request of a caller on an open connection. */
class CallerRequest(val id: String, val host: String, val path: String, val key: String) {
    /** The bytes of the request, to be answered within [deadlineMillis]. */
    fun bytes(deadlineMillis: Int): ByteArray = (
        "POST $path HTTP/1.1\r\nHost: $host\r\n$REQUEST_ID_HEADER: $id\r\n" +
            "Authorization: Bearer $key\r\nX-Deadline-Remaining: $deadlineMillis\r\n" +
            "X-Model: m\r\nX-Token-Counts: 900,100\r\nContent-Length: 2\r\n\r\n{}"
        ).encodeToByteArray()
}

/** A route as the operator writes it; [kind] in the platform's words. */
class RouteDocument(
    private val host: String,
    private val prefix: String,
    private val kind: String,
    private val service: String,
    private val endpointsMax: Int
) {
    /** The route in JSON. */
    fun json(): String = """{"name":"$prefix","host":"$host","path-prefix":"$prefix",""" +
        """"kind":"$kind","timeout-ms":5000,"target-latency-ms":400,"priority":1,""" +
        """"service":"$service","attempts":$endpointsMax,"can-resume":true}"""
}

/** A configuration with a plain service, a service of engines for [model], and an origin. */
class ConfigurationDocument(
    private val version: Int,
    private val routes: List<RouteDocument>,
    private val model: String,
    private val originAddress: String,
    private val organisation: String,
    private val keys: List<String>
) {
    /** The configuration in JSON. */
    fun json(): String {
        val engine = """{"slots":12,"step_ms":7.4,"read_per_s":31900.0,"stride":6,""" +
            """"usual":{"prompt":900,"answer":100},"models":[{"name":"$model"}]}"""
        val quoted = keys.joinToString(",") { "\"$it\"" }
        return """{"version":$version,"routes":[${routes.joinToString(",") { it.json() }}],
            "services":[{"name":"$PLAIN_SERVICE","connection-limit":100},
            {"name":"$ENGINE_SERVICE","connection-limit":100,"engine":$engine},
            {"name":"weights","origin":"$originAddress","zone":"z","connection-limit":20}],
            "tenants":[{"name":"$organisation","api-keys":[$quoted]}]}"""
    }
}

/** Name of the plain service in a [ConfigurationDocument]. */
const val PLAIN_SERVICE = "plain"

/** Name of the service of engines in a [ConfigurationDocument]. */
const val ENGINE_SERVICE = "llm"

/** The list entry of an endpoint at [address]; [engine] is null for a plain one. */
fun endpointDocument(
    service: String,
    address: String,
    state: String,
    engine: ModelEngineService?
): String {
    val life = engine?.let { ""","models":${it.modelsJson},"born":${it.startedAtMillis}""" }
    return """{"service":"$service","address":"$address","zone":"z","version":"v1","slots":12,""" +
        """"state":"$state","cold-remaining-ms":0,"sequence":1${life.orEmpty()}}"""
}
