/*
 * Generates, from the schema of an INI file, the table of its keys and the typed classes that hold
 * the checked values.
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

private val list = ClassName("kotlin.collections", "List")
private val sectionValues = ClassName(SCHEMA_PACKAGE, "SectionValues")
private val fileSpec = ClassName(SCHEMA_PACKAGE, "FileSpec")

internal fun generateFile(schema: FileSchema, source: String): FileSpec {
    val root = ClassName(SCHEMA_PACKAGE, "${schema.name}Configuration")
    val builder = FileSpec.builder(root)
        .indent("    ")
        .addFileComment(GENERATED_NOTE, source)
        .addProperty(specTable(schema))
    schema.sections.forEach { section ->
        section.keys.filter {
            it.type == "choice"
        }.forEach { builder.addType(choiceType(section, it)) }
        builder.addType(sectionType(section))
        builder.addFunction(sectionFactory(section))
    }
    builder.addType(rootType(schema, root))
    builder.addFunction(rootFactory(schema, root))
    return builder.build()
}

private fun specTable(schema: FileSchema): PropertySpec {
    val code = CodeBlock.builder().add("FileSpec(%S, %S, listOf(\n", schema.name, schema.doc)
    schema.sections.forEach { section ->
        code.add("    SectionSpec(%S, %L, %S, listOf(\n", section.name, section.named, section.doc)
        section.keys.forEach { code.add("        ").add(keySpec(it)).add(",\n") }
        code.add("    )),\n")
    }
    code.add("))")
    return PropertySpec.builder("${schema.name.lowercase()}FileSpec", fileSpec)
        .addKdoc("Keys of the %L file.", schema.name.lowercase())
        .initializer(code.build())
        .build()
}

private fun keySpec(key: KeySchema): CodeBlock {
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

private fun choiceType(section: SectionSchema, key: KeySchema): TypeSpec {
    val builder = TypeSpec.enumBuilder(choiceName(section, key)).addKdoc("%L", key.doc)
    key.choices.forEach { builder.addEnumConstant(it.uppercase()) }
    return builder.build()
}

private fun sectionType(section: SectionSchema): TypeSpec {
    val constructor = FunSpec.constructorBuilder()
    val builder = TypeSpec.classBuilder("${pascal(section.name)}Section")
        .addKdoc("%L", section.doc)
        .addModifiers(KModifier.DATA)
    fun field(name: String, type: TypeName, doc: String) {
        constructor.addParameter(name, type)
        builder.addProperty(
            PropertySpec.builder(name, type).initializer("%N", name).addKdoc("%L", doc).build()
        )
    }
    if (section.named) field("id", typeName(section.id ?: "String"), "Name of the section.")
    section.keys.forEach { field(camel(it.key), keyType(section, it), it.doc) }
    return builder.primaryConstructor(constructor.build()).build()
}

private fun sectionFactory(section: SectionSchema): FunSpec {
    val type = ClassName(SCHEMA_PACKAGE, "${pascal(section.name)}Section")
    val code = CodeBlock.builder().add("return %T(\n", type)
    if (section.named) code.add("    id = %L,\n", wrap(section.id, "values.name"))
    section.keys.forEach { code.add("    %N = %L,\n", camel(it.key), conversion(section, it)) }
    return FunSpec.builder("${camel(section.name)}Section")
        .addModifiers(KModifier.PRIVATE)
        .addParameter("values", sectionValues)
        .returns(type)
        .addCode(code.add(")\n").build())
        .build()
}

private fun rootType(schema: FileSchema, root: ClassName): TypeSpec {
    val constructor = FunSpec.constructorBuilder()
    val builder = TypeSpec.classBuilder(root).addKdoc("%L", schema.doc).addModifiers(KModifier.DATA)
    schema.sections.forEach { section ->
        val type = rootFieldType(section)
        constructor.addParameter(rootField(section), type)
        builder.addProperty(
            PropertySpec.builder(
                rootField(section),
                type
            ).initializer("%N", rootField(section)).build()
        )
    }
    return builder.primaryConstructor(constructor.build()).build()
}

private fun rootFactory(schema: FileSchema, root: ClassName): FunSpec {
    val code = CodeBlock.builder().add("return %T(\n", root)
    schema.sections.forEach { section ->
        val select = "sections.getValue(\"${section.name}\")"
        val value = if (section.named) {
            "$select.map(::${camel(section.name)}Section)"
        } else {
            "${camel(section.name)}Section($select.single())"
        }
        code.add("    %N = %L,\n", rootField(section), value)
    }
    val sections = ClassName("kotlin.collections", "Map")
        .parameterizedBy(typeName("String"), list.parameterizedBy(sectionValues))
    return FunSpec.builder(schema.name.lowercase() + "Configuration")
        .addKdoc("Builds the typed values from checked sections, keyed by section name.")
        .addParameter("sections", sections)
        .returns(root)
        .addCode(code.add(")\n").build())
        .build()
}

private fun rootField(section: SectionSchema): String =
    camel(section.name) + if (section.named) "s" else ""

private fun rootFieldType(section: SectionSchema): TypeName {
    val type = ClassName(SCHEMA_PACKAGE, "${pascal(section.name)}Section")
    return if (section.named) list.parameterizedBy(type) else type
}

private fun choiceName(section: SectionSchema, key: KeySchema): String =
    pascal(section.name) + pascal(key.key)

private fun keyType(section: SectionSchema, key: KeySchema): TypeName = when (key.type) {
    "int" -> typeName("Int")
    "decimal" -> typeName("Double")
    "choice" -> typeName(choiceName(section, key))
    "names" -> list.parameterizedBy(typeName(key.id ?: "String"))
    "routes" -> list.parameterizedBy(typeName("Route"))
    "secret" -> typeName("Secret")
    else -> typeName(key.id ?: "String")
}

private fun conversion(section: SectionSchema, key: KeySchema): String {
    val quoted = "\"${key.key}\""
    return when (key.type) {
        "int" -> "values.int($quoted)"
        "decimal" -> "values.decimal($quoted)"
        "choice" -> "${choiceName(section, key)}.valueOf(values.string($quoted).uppercase())"
        "names" -> "values.names($quoted)" + (key.id?.let { ".map(::$it)" } ?: "")
        "routes" -> "values.routes($quoted)"
        "secret" -> "values.secret($quoted)"
        else -> wrap(key.id, "values.string($quoted)")
    }
}

private fun wrap(id: String?, expression: String): String =
    if (id == null) expression else "$id($expression)"

private fun pascal(name: String): String =
    name.split('-').joinToString("") { part -> part.replaceFirstChar(Char::uppercase) }

private fun camel(name: String): String = pascal(name).replaceFirstChar(Char::lowercase)
