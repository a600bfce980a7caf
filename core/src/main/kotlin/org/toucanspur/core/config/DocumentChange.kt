/*
 * Semantic diff of two environment documents: order, comments and explicitly written defaults are
 * ignored.
 */
package org.toucanspur.core.config

import org.toucanspur.schema.FileSpec
import org.toucanspur.schema.SectionValues
import org.toucanspur.schema.environmentFileSpec

/** One difference; [before] is null for a new section, [after] for a removed one. */
data class DocumentChange(
    val section: String,
    val key: String,
    val before: String?,
    val after: String?
) {
    /** Formats the change as one line. */
    fun render(): String = when {
        before == null -> "+ [$section] $key = $after"
        after == null -> "- [$section] $key = $before"
        else -> "~ [$section] $key: $before -> $after"
    }
}

/** Returns the differences between [before] and [after] in schema order. */
fun diffDocuments(
    before: Map<String, List<SectionValues>>,
    after: Map<String, List<SectionValues>>,
    spec: FileSpec = environmentFileSpec
): List<DocumentChange> = spec.sections.flatMap { section ->
    val old = before[section.name].orEmpty().associateBy { it.name }
    val new = after[section.name].orEmpty().associateBy { it.name }
    (old.keys + new.keys).sorted().flatMap { name ->
        val title = if (section.named) "${section.name} $name" else section.name
        section.keys.mapNotNull { key ->
            val oldValue = old[name]?.string(key.key)
            val newValue = new[name]?.string(key.key)
            if (oldValue == newValue) null else DocumentChange(title, key.key, oldValue, newValue)
        }
    }
}
