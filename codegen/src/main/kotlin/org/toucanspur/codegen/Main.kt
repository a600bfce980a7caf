/*
 * Generates the Kotlin sources and the configuration reference from the schema files.
 */
package org.toucanspur.codegen

import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.json.Json

/** Writes all generated files to the repository whose root is the first argument. */
fun main(args: Array<String>) {
    val root = Path.of(args.firstOrNull() ?: ".")
    generateAll(root).forEach { (path, text) ->
        Files.createDirectories(path.parent)
        Files.writeString(path, text)
        println("wrote $path")
    }
}

/** Returns the content of every generated file, keyed by its path below [root]. */
internal fun generateAll(root: Path): Map<Path, String> {
    val schemas = root.resolve("schema/src/main/schema")
    val sourceDirectory = root.resolve("schema/src/main/generated/org/toucanspur/schema")
    val messages = Json.decodeFromString<MessageSchema>(schemas.resolve("messages.json").text())
    val settings = Json.decodeFromString<FileSchema>(schemas.resolve("settings.json").text())
    val environment = Json.decodeFromString<FileSchema>(schemas.resolve("environment.json").text())
    val node = Json.decodeFromString<FileSchema>(schemas.resolve("node.json").text())
    val files = generateMessages(messages) +
        generateConfiguration(settings, "settings.json") +
        generateConfiguration(environment, "environment.json") +
        generateConfiguration(node, "node.json")
    val sources = files.associate { sourceDirectory.resolve("${it.name}.kt") to it.toString() }
    val docs = generateConfigurationDocs(listOf(settings, environment, node))
    return sources + (root.resolve("docs/CONFIGURATION.md") to docs)
}

private fun Path.text(): String = Files.readString(this)
