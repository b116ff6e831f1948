/*
 * Checks the structure of a settings file field by field before it is decoded.
 *
 * The library's decoder stops at the first error; this check continues, so that a single start reports all errors.
 */

package org.buckthornwheel.settings

import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull

/** Checks JSON against the serial descriptors of the settings classes. */
internal object SettingsShape {
    private const val MAXIMUM_QUOTE_CHARACTERS = 60

    /** Finds everything in [element] at [path] that cannot be decoded as [descriptor]. */
    fun check(path: String, descriptor: SerialDescriptor, element: JsonElement): List<SettingsFinding> {
        if (element is JsonNull && descriptor.isNullable) return emptyList()
        if (descriptor.isInline) return check(path, descriptor.getElementDescriptor(0), element)
        return when (descriptor.kind) {
            StructureKind.CLASS -> checkFields(path, descriptor, element)
            StructureKind.LIST -> checkEntries(path, descriptor, element)
            else -> checkValue(path, descriptor, element)
        }
    }

    private fun checkFields(path: String, descriptor: SerialDescriptor, element: JsonElement): List<SettingsFinding> {
        if (element !is JsonObject) return listOf(SettingsFinding(path, describe(element), "an object"))
        val names = descriptor.elementNames.toList()
        val unknown = (element.keys - names.toSet()).map {
            SettingsFinding("$path.$it", "an unknown field", "one of ${names.joinToString()}")
        }
        val missing = names.filterIndexed { at, name -> name !in element && !descriptor.isElementOptional(at) }
            .map { SettingsFinding("$path.$it", "nothing", "a value; the field has no default") }
        val nested = descriptor.elementDescriptors.toList().zip(names).flatMap { (field, name) ->
            element[name]?.let { check("$path.$name", field, it) }.orEmpty()
        }
        return unknown + missing + nested
    }

    private fun checkEntries(path: String, descriptor: SerialDescriptor, element: JsonElement): List<SettingsFinding> {
        if (element !is JsonArray) return listOf(SettingsFinding(path, describe(element), "a list"))
        val entry = descriptor.getElementDescriptor(0)
        return element.flatMapIndexed { at, value -> check("$path[$at]", entry, value) }
    }

    private fun checkValue(path: String, descriptor: SerialDescriptor, element: JsonElement): List<SettingsFinding> {
        val allowed = allowed(descriptor)
        if (element is JsonPrimitive && element !is JsonNull && fits(descriptor, element)) return emptyList()
        return listOf(SettingsFinding(path, describe(element), allowed))
    }

    private fun fits(descriptor: SerialDescriptor, value: JsonPrimitive): Boolean = when (descriptor.kind) {
        PrimitiveKind.STRING -> value.isString
        PrimitiveKind.INT -> !value.isString && value.intOrNull != null
        PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
        PrimitiveKind.BOOLEAN -> !value.isString && value.booleanOrNull != null
        SerialKind.ENUM -> descriptor.elementNames.any { it.equals(value.content, ignoreCase = true) }
        else -> true
    }

    private fun allowed(descriptor: SerialDescriptor): String = when (descriptor.kind) {
        PrimitiveKind.STRING -> "text in quotation marks"
        PrimitiveKind.INT -> "a whole number up to ${Int.MAX_VALUE}"
        PrimitiveKind.LONG -> "a whole number"
        PrimitiveKind.BOOLEAN -> "true or false"
        SerialKind.ENUM -> "one of ${descriptor.elementNames.joinToString { it.lowercase() }}"
        else -> "a value of kind ${descriptor.kind}"
    }

    private fun describe(element: JsonElement): String = when (element) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        is JsonPrimitive -> element.toString().take(MAXIMUM_QUOTE_CHARACTERS)
    }
}
