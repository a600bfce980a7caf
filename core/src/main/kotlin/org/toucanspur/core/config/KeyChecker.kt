/*
 * Checks the sections of an INI file against the key table generated from the schema: unknown
 * sections and keys, missing keys, duplicates, types and ranges. Reports all errors at once.
 */
package org.toucanspur.core.config

import org.toucanspur.schema.FileSpec
import org.toucanspur.schema.KeySpec
import org.toucanspur.schema.KeyType
import org.toucanspur.schema.SectionSpec
import org.toucanspur.schema.SectionValues

/** Line numbers of sections and keys, used in the findings of later checks. */
class SourceLocations(private val lines: Map<String, Int>) {
    /** Line of [key] in the section, or of the section header, or 1. */
    fun line(section: String, name: String? = null, key: String? = null): Int =
        lines[path(section, name, key)] ?: lines[path(section, name, null)] ?: 1

    internal companion object {
        fun path(section: String, name: String?, key: String?): String =
            "$section/${name.orEmpty()}/${key.orEmpty()}"
    }
}

/** Checked sections by type; [values] is complete only when no finding is an error. */
data class CheckedFile(
    val file: String,
    val values: Map<String, List<SectionValues>>,
    val locations: SourceLocations,
    val findings: List<Finding>
) {
    val hasErrors: Boolean get() = findings.any { it.severity == Severity.ERROR }
}

/** Checks [text] against [spec]; [file] is used in findings only. */
fun checkKeys(file: String, text: String, spec: FileSpec): CheckedFile {
    val ini = readIni(file, text)
    val run = KeyCheckRun(file, spec)
    ini.sections.forEach(run::addSection)
    run.reportMissingSections()
    return run.result(ini.findings)
}

private const val MAX_EDIT_DISTANCE = 3

private class KeyCheckRun(private val file: String, private val spec: FileSpec) {
    private val findings = mutableListOf<Finding>()
    private val lines = mutableMapOf<String, Int>()
    private val values = spec.sections.associate { it.name to mutableListOf<SectionValues>() }

    fun addSection(section: IniSection) {
        val sectionSpec = spec.sections.find { it.name == section.type }
        if (sectionSpec == null) {
            report(
                section.line,
                "unknown section \"${section.type}\"" +
                    suggestionFor(section.type, spec.sections.map { it.name })
            )
            return
        }
        if (!hasValidName(section, sectionSpec)) return
        lines[SourceLocations.path(section.type, section.name, null)] = section.line
        values.getValue(section.type) +=
            SectionValues(section.name.orEmpty(), checkEntries(section, sectionSpec))
    }

    private fun hasValidName(section: IniSection, sectionSpec: SectionSpec): Boolean {
        val name = section.name
        val type = section.type
        when {
            sectionSpec.named && name == null ->
                report(section.line, "section \"$type\" lacks a name; write [$type NAME]")
            !sectionSpec.named && name != null ->
                report(section.line, "section \"$type\" takes no name; write [$type]")
            name != null && !namePattern.matches(name) ->
                report(
                    section.line,
                    "name \"$name\" is invalid; use letters, digits, '.', '_' and '-'"
                )
            SourceLocations.path(type, name, null) in lines ->
                report(
                    section.line,
                    "section [${listOfNotNull(
                        type,
                        name
                    ).joinToString(" ")}] appears twice; merge the two"
                )
            else -> return true
        }
        return false
    }

    private fun checkEntries(section: IniSection, sectionSpec: SectionSpec): Map<String, String> {
        val found = mutableMapOf<String, String>()
        section.entries.forEach { entry ->
            val keySpec = sectionSpec.keys.find { it.key == entry.key }
            if (keySpec == null) {
                val suggestion = suggestionFor(entry.key, sectionSpec.keys.map { it.key })
                report(
                    entry.line,
                    "unknown key \"${entry.key}\" in section \"${section.type}\"$suggestion"
                )
            } else if (entry.key in found) {
                report(entry.line, "key \"${entry.key}\" appears twice; remove one")
            } else {
                lines[SourceLocations.path(section.type, section.name, entry.key)] = entry.line
                found[entry.key] = entry.value
                valueError(keySpec, entry.value)?.let { report(entry.line, it) }
            }
        }
        return fillDefaults(section, sectionSpec, found)
    }

    private fun fillDefaults(
        section: IniSection,
        sectionSpec: SectionSpec,
        found: Map<String, String>
    ): Map<String, String> = sectionSpec.keys.associate { key ->
        val default = key.default
        if (key.key !in found && default == null) {
            report(
                section.line,
                "key \"${key.key}\" is missing in section \"${section.type}\"; add it: ${key.doc}"
            )
        }
        key.key to (found[key.key] ?: default.orEmpty())
    }

    fun reportMissingSections() {
        spec.sections.filter {
            !it.named && values.getValue(it.name).isEmpty()
        }.forEach { section ->
            val required = section.keys.filter { it.default == null }
            if (required.isNotEmpty()) {
                val keys = required.joinToString { it.key }
                report(1, "section [${section.name}] is missing; add it with: $keys")
            }
            val defaults = section.keys.associate { it.key to it.default.orEmpty() }
            values.getValue(section.name) += SectionValues("", defaults)
        }
    }

    fun result(earlier: List<Finding>): CheckedFile =
        CheckedFile(file, values, SourceLocations(lines), (earlier + findings).sortedBy { it.line })

    private fun report(line: Int, message: String) {
        findings += Finding(file, line, message)
    }
}

private fun suggestionFor(word: String, known: List<String>): String {
    val nearest = known.minByOrNull { editDistance(word, it) }
    return if (nearest != null && editDistance(word, nearest) <= MAX_EDIT_DISTANCE) {
        "; did you mean \"$nearest\"?"
    } else {
        "; known are: ${known.joinToString()}"
    }
}

/** Levenshtein distance between two words. */
internal fun editDistance(left: String, right: String): Int {
    var previous = IntArray(right.length + 1) { it }
    left.forEachIndexed { row, leftChar ->
        val current = IntArray(right.length + 1)
        current[0] = row + 1
        right.forEachIndexed { column, rightChar ->
            val substitution = previous[column] + if (leftChar == rightChar) 0 else 1
            current[column + 1] = minOf(previous[column + 1] + 1, current[column] + 1, substitution)
        }
        previous = current
    }
    return previous[right.length]
}

private val namePattern = Regex("[A-Za-z0-9._-]{1,64}")
private val digestPattern = Regex("[0-9a-f]{64}")
private val urlPattern = Regex("https?://[0-9A-Za-z.\\[\\]:-]+(/\\S*)?")
private val routePattern = Regex("[A-Z]+\\s+/\\S*")
private const val MIN_SECRET_CHARS = 32

/** Returns the error of [value] as a value of [key] with the remedy, or null when it is valid. */
internal fun valueError(key: KeySpec, value: String): String? = when (key.type) {
    KeyType.INT -> intError(key, value)
    KeyType.DECIMAL -> errorIf((value.toDoubleOrNull() ?: -1.0) < 0) {
        "\"$value\" is not a number for \"${key.key}\"; use a decimal of 0 or more"
    }
    KeyType.CHOICE -> errorIf(value !in key.choices) {
        "\"$value\" is not a value of \"${key.key}\"; use one of: ${key.choices.joinToString()}"
    }
    KeyType.NAME -> errorIf(!namePattern.matches(value)) {
        "\"$value\" is not a name for \"${key.key}\"; use 1 to 64 letters, digits, '.', '_' and '-'"
    }
    KeyType.NAMES -> listError(value, namePattern) {
        "\"$it\" in \"${key.key}\" is not a name; separate names by commas"
    }
    KeyType.ROUTES -> listError(value, routePattern) {
        "\"$it\" in \"${key.key}\" is not a route; write METHOD /path"
    }
    KeyType.URL -> errorIf(!urlPattern.matches(value)) {
        "\"$value\" is not a URL for \"${key.key}\"; write http://IP:PORT/path"
    }
    KeyType.DIGEST -> errorIf(!digestPattern.matches(value)) {
        "\"${key.key}\" is not a SHA-256 digest; use 64 lower-case hexadecimal digits"
    }
    KeyType.SECRET -> errorIf(
        value.length < MIN_SECRET_CHARS && (value.isNotEmpty() || key.default == null)
    ) {
        "\"${key.key}\" is too short; use $MIN_SECRET_CHARS or more random characters"
    }
    KeyType.STRING -> errorIf(value.isBlank()) { "\"${key.key}\" is empty; give a value" }
}

private fun intError(key: KeySpec, value: String): String? {
    val number = value.toIntOrNull()
    val remedy = "use ${key.min} to ${key.max}"
    return when {
        number == null -> "\"$value\" is not an integer for \"${key.key}\"; $remedy"
        number !in key.min..key.max -> "$number is out of range for \"${key.key}\"; $remedy"
        else -> null
    }
}

private fun listError(value: String, pattern: Regex, message: (String) -> String): String? =
    value.split(',').map(String::trim).filter(String::isNotEmpty).find {
        !pattern.matches(it)
    }?.let(message)

private fun errorIf(isInvalid: Boolean, message: () -> String): String? =
    if (isInvalid) message() else null
