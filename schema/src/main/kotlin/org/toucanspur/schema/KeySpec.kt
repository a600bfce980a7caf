/*
 * Specification of the sections and keys of an INI file. The tables are generated from the schema;
 * the checker in the core module uses them to report unknown keys, missing keys and values out of
 * range.
 */
package org.toucanspur.schema

/** Type of the value of a key. */
enum class KeyType { INT, DECIMAL, STRING, NAME, NAMES, CHOICE, URL, SECRET, DIGEST, ROUTES }

/**
 * One key of a section.
 *
 * [default] is null when the key is required. [min] and [max] bound a value of type
 * [KeyType.INT], in the unit that the key's suffix names.
 */
data class KeySpec(
    val key: String,
    val type: KeyType,
    val doc: String,
    val default: String? = null,
    val min: Int = Int.MIN_VALUE,
    val max: Int = Int.MAX_VALUE,
    val choices: List<String> = emptyList()
)

/** One section; a [named] section occurs once per name, as in `[zone brest-a]`. */
data class SectionSpec(
    val name: String,
    val named: Boolean,
    val doc: String,
    val keys: List<KeySpec>
)

/** All sections of one type of INI file. */
data class FileSpec(val name: String, val doc: String, val sections: List<SectionSpec>)
