package org.buckthornwheel.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Reads settings files, which are JSON with comments and trailing commas; reports all errors of a file at once. */
public object SettingsReader {
    private const val ROOT = "$"

    /** Valid values that replace malformed sections, so that the rules can check the other sections. */
    private const val PLACEHOLDER_TEXT = """{
      "host": {"name": "specimen", "region": "specimen", "zone": "specimen"},
      "listen": {"callers": "127.0.0.1:1", "administration": "127.0.0.1:2", "peers": "127.0.0.1:3"},
      "platform": {"keyValueService": "http://a", "clientDirectory": "http://a", "hostList": "http://a"},
      "sharedKeys": [{"identifier": "specimen", "secret": "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="}]
    }"""

    @OptIn(ExperimentalSerializationApi::class)
    private val format = Json {
        allowComments = true
        allowTrailingComma = true
        decodeEnumsCaseInsensitive = true
    }
    private val placeholders = format.parseToJsonElement(PLACEHOLDER_TEXT) as JsonObject

    /** Reads and validates the settings in [file], or returns all errors in them. */
    public fun read(file: Path): Either<NonEmptyList<SettingsFinding>, HostSettings> {
        val text = try {
            file.readText()
        } catch (failure: IOException) {
            return nonEmptyListOf(SettingsFinding(file.toString(), "$failure", "a readable file in UTF-8")).left()
        }
        return parse(text)
    }

    /** Parses and validates the settings in [text], or returns all errors in them. */
    public fun parse(text: String): Either<NonEmptyList<SettingsFinding>, HostSettings> {
        val element = try {
            format.parseToJsonElement(text)
        } catch (failure: SerializationException) {
            return nonEmptyListOf(notJson(failure)).left()
        }
        return check(element)
    }

    private fun check(element: JsonElement): Either<NonEmptyList<SettingsFinding>, HostSettings> {
        val shape = SettingsShape.check(ROOT, HostSettings.serializer().descriptor, element)
        if (element !is JsonObject) return nonEmptyListOf(shape.first()).left()
        val malformed = shape.map { sectionOf(it.path) }.toSet()
        val known = HostSettings.serializer().descriptor.elementNames.toSet()
        val allSections = placeholders + element.filterKeys { it in known }
        val settings = decode(JsonObject(allSections - malformed + placeholders.filterKeys { it in malformed }))
        val rules = SettingsRules.check(settings).filterNot { sectionOf(it.path) in malformed }
        return (shape + rules).toNonEmptyListOrNull()?.left() ?: settings.right()
    }

    private fun decode(element: JsonObject): HostSettings =
        format.decodeFromJsonElement(HostSettings.serializer(), element)

    private fun sectionOf(path: String): String = path.removePrefix("$ROOT.").substringBefore('.').substringBefore('[')

    private fun notJson(failure: SerializationException): SettingsFinding =
        SettingsFinding(ROOT, failure.message.orEmpty().lineSequence().first(), "JSON, with or without comments")
}
