/*
 * Generates the reference of all configuration keys, `docs/CONFIGURATION.md`.
 */
package org.toucanspur.codegen

internal fun generateConfigurationDocs(files: List<FileSchema>): String = buildString {
    appendLine("# Configuration reference")
    appendLine()
    appendLine("Generated from the schema by `bin/generate`. The suffix of a key gives its unit.")
    files.forEach { file ->
        appendLine()
        appendLine("## ${file.name} file")
        appendLine()
        appendLine(file.doc)
        file.sections.forEach { appendSection(it) }
    }
}

private fun StringBuilder.appendSection(section: SectionSchema) {
    appendLine()
    appendLine(if (section.named) "### `[${section.name} NAME]`" else "### `[${section.name}]`")
    appendLine()
    appendLine(section.doc)
    appendLine()
    appendLine("| key | type | default | range | description |")
    appendLine("| --- | --- | --- | --- | --- |")
    section.keys.forEach { key ->
        val default = if (key.required) "required" else "`${key.default.orEmpty()}`"
        appendLine("| `${key.key}` | ${key.type} | $default | ${valueRange(key)} | ${key.doc} |")
    }
}

private fun valueRange(key: KeySchema): String = when {
    key.choices.isNotEmpty() -> key.choices.joinToString(", ") { "`$it`" }
    key.min != null || key.max != null -> "${key.min} to ${key.max}"
    else -> ""
}
