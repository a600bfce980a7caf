/*
 * Typed access to the values of one section. The checker has validated the values, so the
 * conversions do not fail.
 */
package org.toucanspur.schema

/** Method and path of a plain service; a trailing `*` in [path] matches any suffix. */
data class Route(val method: String, val path: String) {
    /** Returns whether a request with [requestMethod] and [requestPath] matches this route. */
    fun matches(requestMethod: String, requestPath: String): Boolean {
        if (!method.equals(requestMethod, ignoreCase = true)) return false
        val pathWithoutQuery = requestPath.substringBefore('?')
        return if (path.endsWith("*")) {
            pathWithoutQuery.startsWith(path.dropLast(1))
        } else {
            pathWithoutQuery == path
        }
    }
}

/** A secret key whose string form is redacted to keep it out of logs. */
@JvmInline
value class Secret(val value: String) {
    override fun toString(): String = "Secret(***)"
}

/** Values of one section by key, with defaults filled in. */
class SectionValues(val name: String, private val values: Map<String, String>) {
    /** String value of [key]; the checker guarantees that it is present. */
    fun string(key: String): String = values.getValue(key)

    /** Integer value of [key]. */
    fun int(key: String): Int = string(key).toInt()

    /** Decimal value of [key]. */
    fun decimal(key: String): Double = string(key).toDouble()

    /** Comma-separated values of [key]. */
    fun names(key: String): List<String> =
        string(key).split(',').map(String::trim).filter(String::isNotEmpty)

    /** Routes of [key], each written as `METHOD /path`. */
    fun routes(key: String): List<Route> = names(key).map { entry ->
        val (method, path) = entry.split(Regex("\\s+"), limit = 2)
        Route(method, path)
    }

    /** Secret value of [key]. */
    fun secret(key: String): Secret = Secret(string(key))
}
