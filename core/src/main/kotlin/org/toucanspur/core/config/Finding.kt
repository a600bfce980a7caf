/*
 * Findings of the checks on INI files, with a file position that editors can open.
 */
package org.toucanspur.core.config

/** Severity of a finding; only an error rejects the file. */
enum class Severity { ERROR, WARNING }

/** A problem in a file; [message] includes the remedy. Lines are numbered from 1. */
data class Finding(
    val file: String,
    val line: Int,
    val message: String,
    val severity: Severity = Severity.ERROR
) {
    /** Formats the finding as `file:line: message`, with `warning: ` before a warning message. */
    fun render(): String {
        val prefix = if (severity == Severity.WARNING) "warning: " else ""
        return "$file:$line: $prefix$message"
    }
}
