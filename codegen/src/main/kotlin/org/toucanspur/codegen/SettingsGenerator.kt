/*
 * Generates the specification table of an INI file and the typed classes for its validated values
 * from the schema of the file.
 */
package org.toucanspur.codegen

import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.CodeBlock
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.TypeName
import com.squareup.kotlinpoet.TypeSpec

private val listType = ClassName("kotlin.collections", "List")
private val sectionValuesType = ClassName(SCHEMA_PACKAGE, "SectionValues")
private val fileSpecType = ClassName(SCHEMA_PACKAGE, "FileSpec")

internal fun generateConfiguration(schema: FileSchema, source: String): FileSpec {
    val root = ClassName(SCHEMA_PACKAGE, "${schema.name}Configuration")
    val builder = FileSpec.builder(root)
        .indent("    ")
        .addFileComment(GENERATED_FILE_HEADER, source)
        .addProperty(fileSpecProperty(schema))
    schema.sections.forEach { section ->
        section.keys.filter {
            it.type == "choice"
        }.forEach { builder.addType(choiceEnumType(section, it)) }
        builder.addType(sectionType(section))
        builder.addFunction(sectionFactory(section))
    }
    builder.addType(configurationType(schema, root))
    builder.addFunction(configurationFactory(schema, root))
    return builder.build()
}

private fun fileSpecProperty(schema: FileSchema): PropertySpec {
    val code = CodeBlock.builder().add("FileSpec(%S, %S, listOf(\n", schema.name, schema.doc)
    schema.sections.forEach { section ->
        code.add("    SectionSpec(%S, %L, %S, listOf(\n", section.name, section.named, section.doc)
        section.keys.forEach { code.add("        ").add(keySpecCode(it)).add(",\n") }
        code.add("    )),\n")
    }
    code.add("))")
    return PropertySpec.builder("${schema.name.lowercase()}FileSpec", fileSpecType)
        .addKdoc("Sections and keys of the %L file.", schema.name.lowercase())
        .initializer(code.build())
        .build()
}

private fun keySpecCode(key: KeySchema): CodeBlock {
    val code = CodeBlock.builder()
    code.add("KeySpec(%S, KeyType.%L, %S", key.key, key.type.uppercase(), key.doc)
    if (!key.required) code.add(", default = %S", key.default.orEmpty())
    key.min?.let { code.add(", min = %L", it) }
    key.max?.let { code.add(", max = %L", it) }
    if (key.choices.isNotEmpty()) {
        code.add(", choices = listOf(%L)", key.choices.joinToString { "\"$it\"" })
    }
    return code.add(")").build()
}

private fun choiceEnumType(section: SectionSchema, key: KeySchema): TypeSpec {
    val builder = TypeSpec.enumBuilder(choiceEnumName(section, key)).addKdoc("%L", key.doc)
    key.choices.forEach { builder.addEnumConstant(it.uppercase()) }
    return builder.build()
}

private fun sectionType(section: SectionSchema): TypeSpec {
    val constructor = FunSpec.constructorBuilder()
    val builder = TypeSpec.classBuilder("${pascalCase(section.name)}Section")
        .addKdoc("%L", section.doc)
        .addModifiers(KModifier.DATA)
    fun addField(name: String, type: TypeName, doc: String) {
        constructor.addParameter(name, type)
        builder.addProperty(
            PropertySpec.builder(name, type).initializer("%N", name).addKdoc("%L", doc).build()
        )
    }
    if (section.named) addField("id", typeName(section.id ?: "String"), "Name of the section.")
    section.keys.forEach { addField(camelCase(it.key), keyTypeName(section, it), it.doc) }
    return builder.primaryConstructor(constructor.build()).build()
}

private fun sectionFactory(section: SectionSchema): FunSpec {
    val type = ClassName(SCHEMA_PACKAGE, "${pascalCase(section.name)}Section")
    val code = CodeBlock.builder().add("return %T(\n", type)
    if (section.named) code.add("    id = %L,\n", wrapInId(section.id, "values.name"))
    section.keys.forEach { code.add("    %N = %L,\n", camelCase(it.key), conversion(section, it)) }
    return FunSpec.builder("${camelCase(section.name)}Section")
        .addModifiers(KModifier.PRIVATE)
        .addParameter("values", sectionValuesType)
        .returns(type)
        .addCode(code.add(")\n").build())
        .build()
}

private fun configurationType(schema: FileSchema, root: ClassName): TypeSpec {
    val constructor = FunSpec.constructorBuilder()
    val builder = TypeSpec.classBuilder(root).addKdoc("%L", schema.doc).addModifiers(KModifier.DATA)
    schema.sections.forEach { section ->
        val type = configurationFieldType(section)
        constructor.addParameter(configurationField(section), type)
        builder.addProperty(
            PropertySpec.builder(
                configurationField(section),
                type
            ).initializer("%N", configurationField(section)).build()
        )
    }
    return builder.primaryConstructor(constructor.build()).build()
}

private fun configurationFactory(schema: FileSchema, root: ClassName): FunSpec {
    val code = CodeBlock.builder().add("return %T(\n", root)
    schema.sections.forEach { section ->
        val sectionLookup = "sections.getValue(\"${section.name}\")"
        val value = if (section.named) {
            "$sectionLookup.map(::${camelCase(section.name)}Section)"
        } else {
            "${camelCase(section.name)}Section($sectionLookup.single())"
        }
        code.add("    %N = %L,\n", configurationField(section), value)
    }
    val sections = ClassName("kotlin.collections", "Map")
        .parameterizedBy(typeName("String"), listType.parameterizedBy(sectionValuesType))
    return FunSpec.builder(schema.name.lowercase() + "Configuration")
        .addKdoc("Creates the typed configuration from validated sections, keyed by section name.")
        .addParameter("sections", sections)
        .returns(root)
        .addCode(code.add(")\n").build())
        .build()
}

private fun configurationField(section: SectionSchema): String =
    camelCase(section.name) + if (section.named) "s" else ""

private fun configurationFieldType(section: SectionSchema): TypeName {
    val type = ClassName(SCHEMA_PACKAGE, "${pascalCase(section.name)}Section")
    return if (section.named) listType.parameterizedBy(type) else type
}

private fun choiceEnumName(section: SectionSchema, key: KeySchema): String =
    pascalCase(section.name) + pascalCase(key.key)

private fun keyTypeName(section: SectionSchema, key: KeySchema): TypeName = when (key.type) {
    "int" -> typeName("Int")
    "decimal" -> typeName("Double")
    "choice" -> typeName(choiceEnumName(section, key))
    "names" -> listType.parameterizedBy(typeName(key.id ?: "String"))
    "routes" -> listType.parameterizedBy(typeName("Route"))
    "secret" -> typeName("Secret")
    else -> typeName(key.id ?: "String")
}

private fun conversion(section: SectionSchema, key: KeySchema): String {
    val quoted = "\"${key.key}\""
    return when (key.type) {
        "int" -> "values.int($quoted)"
        "decimal" -> "values.decimal($quoted)"
        "choice" -> "${choiceEnumName(section, key)}.valueOf(values.string($quoted).uppercase())"
        "names" -> "values.names($quoted)" + (key.id?.let { ".map(::$it)" } ?: "")
        "routes" -> "values.routes($quoted)"
        "secret" -> "values.secret($quoted)"
        else -> wrapInId(key.id, "values.string($quoted)")
    }
}

private fun wrapInId(id: String?, expression: String): String =
    if (id == null) expression else "$id($expression)"

private fun pascalCase(name: String): String =
    name.split('-').joinToString("") { part -> part.replaceFirstChar(Char::uppercase) }

private fun camelCase(name: String): String = pascalCase(name).replaceFirstChar(Char::lowercase)
