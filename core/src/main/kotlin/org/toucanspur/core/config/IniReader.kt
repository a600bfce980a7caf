/*
 * Reads INI text into sections and entries with line numbers. Parsing is done by ini4j; the reader
 * supplies one line at a time, so that the line number of each callback is known.
 */
package org.toucanspur.core.config

import java.io.Reader
import org.ini4j.Config
import org.ini4j.InvalidFileFormatException
import org.ini4j.spi.IniHandler
import org.ini4j.spi.IniParser

/** One `key = value` line. */
data class IniEntry(val key: String, val value: String, val line: Int)

/** One section header with its entries; [name] is null for `[section]` without a name. */
data class IniSection(
    val type: String,
    val name: String?,
    val line: Int,
    val entries: List<IniEntry>
)

/** Sections of an INI file, and findings for malformed lines. */
data class IniText(val sections: List<IniSection>, val findings: List<Finding>)

/** Parses [text]; [file] is used in findings only. */
fun readIni(file: String, text: String): IniText {
    val reader = LineReader(text)
    val handler = SectionCollector { reader.lineNumber }
    val config = Config().apply {
        isEscape = false
        isMultiSection = true
        isMultiOption = true
        isEmptyOption = true
        isEmptySection = true
    }
    try {
        IniParser.newInstance(config).parse(reader, handler)
    } catch (_: InvalidFileFormatException) {
        handler.malformedLines += reader.lineNumber
    }
    return IniText(handler.sections(), handler.malformedLines.map { Finding(file, it, MALFORMED) })
}

private const val MALFORMED =
    "line is neither a section, a comment nor \"key = value\"; correct it"

private class LineReader(text: String) : Reader() {
    private val lines = text.removePrefix("\uFEFF").lines()
    private var unread = ""
    var lineNumber = 0
        private set

    override fun read(buffer: CharArray, offset: Int, length: Int): Int {
        if (unread.isEmpty() && !nextLine()) return -1
        val count = minOf(length, unread.length)
        unread.toCharArray(buffer, offset, 0, count)
        unread = unread.substring(count)
        return count
    }

    private fun nextLine(): Boolean {
        if (lineNumber == lines.size) return false
        unread = lines[lineNumber] + "\n"
        lineNumber++
        return true
    }

    override fun close() = Unit
}

private class SectionCollector(private val line: () -> Int) : IniHandler {
    private val headers = mutableListOf<IniSection>()
    private val entries = mutableListOf<MutableList<IniEntry>>()

    /** Numbers of lines without a value and of the line at which parsing stopped. */
    val malformedLines = mutableListOf<Int>()

    fun sections(): List<IniSection> =
        headers.zip(entries) { header, lines -> header.copy(entries = lines.toList()) }

    override fun startSection(sectionName: String) {
        val headerParts = sectionName.trim().split(Regex("\\s+"), limit = 2)
        headers += IniSection(headerParts[0], headerParts.getOrNull(1), line(), emptyList())
        entries += mutableListOf<IniEntry>()
    }

    override fun handleOption(name: String, value: String?) {
        if (value == null) {
            malformedLines += line()
        } else {
            entries.lastOrNull()?.add(IniEntry(name.trim(), value.trim(), line()))
        }
    }

    override fun startIni() = Unit

    override fun endIni() = Unit

    override fun endSection() = Unit

    override fun handleComment(comment: String) = Unit
}
