/*
 * Findings of the checks on INI files, with the place that an editor can jump to.
 */
package org.toucanspur.core.config

/** Whether a finding rejects the file. */
enum class Severity { ERROR, WARNING }

/** One fault in a file; [message] names the remedy. Lines count from 1. */
data class Finding(
    val file: String,
    val line: Int,
    val message: String,
    val severity: Severity = Severity.ERROR
) {
    /** The finding as `file:line: message`; warnings say so before the message. */
    fun render(): String {
        val prefix = if (severity == Severity.WARNING) "warning: " else ""
        return "$file:$line: $prefix$message"
    }
}
