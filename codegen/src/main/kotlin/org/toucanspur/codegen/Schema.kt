/*
 * Serialised form of the schema files in `schema/src/main/schema`.
 */
package org.toucanspur.codegen

import kotlinx.serialization.Serializable

@Serializable
internal data class MessageSchema(
    val ids: List<IdSchema>,
    val enums: List<EnumSchema>,
    val types: List<TypeSchema>,
    val frames: List<TypeSchema>
)

@Serializable
internal data class IdSchema(val name: String, val wraps: String, val doc: String)

@Serializable
internal data class EnumSchema(val name: String, val doc: String, val values: List<String>)

@Serializable
internal data class TypeSchema(
    val name: String,
    val doc: String,
    val fields: List<FieldSchema>,
    val wire: String? = null
)

@Serializable
internal data class FieldSchema(
    val name: String,
    val type: String,
    val default: String? = null,
    val doc: String? = null
)

@Serializable
internal data class FileSchema(val name: String, val doc: String, val sections: List<SectionSchema>)

@Serializable
internal data class SectionSchema(
    val name: String,
    val doc: String,
    val keys: List<KeySchema>,
    val named: Boolean = false,
    val id: String? = null
)

@Serializable
internal data class KeySchema(
    val key: String,
    val type: String,
    val doc: String,
    val id: String? = null,
    val required: Boolean = false,
    val default: String? = null,
    val min: Int? = null,
    val max: Int? = null,
    val choices: List<String> = emptyList()
)
