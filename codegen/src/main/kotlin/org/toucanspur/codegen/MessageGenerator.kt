/*
 * Generates id classes, enums, message types and frames from the message schema.
 */
package org.toucanspur.codegen

import com.squareup.kotlinpoet.AnnotationSpec
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.FileSpec
import com.squareup.kotlinpoet.FunSpec
import com.squareup.kotlinpoet.KModifier
import com.squareup.kotlinpoet.ParameterSpec
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.PropertySpec
import com.squareup.kotlinpoet.TypeName
import com.squareup.kotlinpoet.TypeSpec

internal const val SCHEMA_PACKAGE = "org.toucanspur.schema"
internal const val GENERATED_FILE_HEADER = "Generated from %L; run `bin/generate` after a change."

private val serializableType = ClassName("kotlinx.serialization", "Serializable")
private val serialNameType = ClassName("kotlinx.serialization", "SerialName")
private val byteStringType = ClassName("kotlinx.serialization.cbor", "ByteString")
private val frameSuperinterface = ClassName(SCHEMA_PACKAGE, "Frame")
private val kotlinTypes = setOf("String", "Int", "Long", "Double", "Boolean", "ByteArray")

internal fun generateMessages(schema: MessageSchema): List<FileSpec> {
    val ids = newFile("Ids")
    schema.ids.forEach { ids.addType(idType(it)) }
    val messages = newFile("Messages")
    schema.enums.forEach { messages.addType(enumType(it)) }
    schema.types.forEach { messages.addType(dataType(it).build()) }
    val frames = newFile("Frames")
    frames.addType(frameInterface())
    schema.frames.forEach { frames.addType(frameType(it)) }
    return listOf(ids.build(), messages.build(), frames.build())
}

private fun newFile(name: String): FileSpec.Builder = FileSpec.builder(SCHEMA_PACKAGE, name)
    .indent("    ")
    .addFileComment(GENERATED_FILE_HEADER, "messages.json")

private fun idType(schema: IdSchema): TypeSpec {
    val wrapped = typeName(schema.wraps)
    val constructor = FunSpec.constructorBuilder().addParameter("value", wrapped).build()
    val toString = FunSpec.builder("toString")
        .addModifiers(KModifier.OVERRIDE)
        .returns(String::class)
        .addStatement("return %L", if (schema.wraps == "String") "value" else "value.toString()")
        .build()
    return TypeSpec.classBuilder(schema.name)
        .addKdoc("%L", schema.doc)
        .addModifiers(KModifier.VALUE)
        .addAnnotation(JvmInline::class)
        .addAnnotation(serializableType)
        .primaryConstructor(constructor)
        .addProperty(PropertySpec.builder("value", wrapped).initializer("value").build())
        .addFunction(toString)
        .build()
}

private fun enumType(schema: EnumSchema): TypeSpec {
    val builder = TypeSpec.enumBuilder(schema.name)
        .addKdoc("%L", schema.doc)
        .addAnnotation(serializableType)
    schema.values.forEach { builder.addEnumConstant(it) }
    return builder.build()
}

private fun frameInterface(): TypeSpec = TypeSpec.interfaceBuilder(frameSuperinterface)
    .addKdoc("A message between two processes.")
    .addModifiers(KModifier.SEALED)
    .addAnnotation(serializableType)
    .build()

private fun frameType(schema: TypeSchema): TypeSpec = dataType(schema)
    .addSuperinterface(frameSuperinterface)
    .addAnnotation(
        AnnotationSpec.builder(serialNameType).addMember("%S", schema.wire.orEmpty()).build()
    )
    .build()

private fun dataType(schema: TypeSchema): TypeSpec.Builder {
    val constructor = FunSpec.constructorBuilder()
    val builder = TypeSpec.classBuilder(schema.name)
        .addKdoc("%L", schema.doc)
        .addModifiers(KModifier.DATA)
        .addAnnotation(serializableType)
    schema.fields.forEach { field ->
        val type = typeName(field.type)
        constructor.addParameter(parameter(field, type))
        builder.addProperty(property(field, type))
    }
    return builder.primaryConstructor(constructor.build())
}

private fun parameter(field: FieldSchema, type: TypeName): ParameterSpec {
    val builder = ParameterSpec.builder(field.name, type)
    field.default?.let { builder.defaultValue("%L", it) }
    return builder.build()
}

private fun property(field: FieldSchema, type: TypeName): PropertySpec {
    val builder = PropertySpec.builder(field.name, type).initializer("%N", field.name)
    field.doc?.let { builder.addKdoc("%L", it) }
    if (field.type == "ByteArray") builder.addAnnotation(byteStringType)
    return builder.build()
}

internal fun typeName(name: String): TypeName {
    if (name.endsWith("?")) return typeName(name.dropLast(1)).copy(nullable = true)
    if (name.startsWith("List<")) {
        val element = typeName(name.removePrefix("List<").removeSuffix(">"))
        return ClassName("kotlin.collections", "List").parameterizedBy(element)
    }
    val packageName = if (name in kotlinTypes) "kotlin" else SCHEMA_PACKAGE
    return ClassName(packageName, name)
}
