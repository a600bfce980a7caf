/*
 * Typed access to the values of one section. The values have passed the checker before, so the
 * conversions here do not fail on bad input.
 */
package org.toucanspur.schema

/** A method and a path of a plain service; a trailing `*` of [path] matches any rest. */
data class Route(val method: String, val path: String) {
    /** Tells whether a call with [callMethod] and [callPath] takes this route. */
    fun matches(callMethod: String, callPath: String): Boolean {
        if (!method.equals(callMethod, ignoreCase = true)) return false
        val plainPath = callPath.substringBefore('?')
        return if (path.endsWith("*")) {
            plainPath.startsWith(path.dropLast(1))
        } else {
            plainPath == path
        }
    }
}

/** A key that must not appear in logs. */
@JvmInline
value class Secret(val value: String) {
    override fun toString(): String = "Secret(***)"
}

/** Values of one section by key, with defaults filled in. */
class SectionValues(val name: String, private val values: Map<String, String>) {
    /** Value of [key]; the checker guarantees that it is present. */
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
