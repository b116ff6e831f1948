package org.buckthornwheel.api

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.api.estate.EstateItem
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.Operation
import org.buckthornwheel.api.estate.PolicyItem
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ResidencyRuleItem
import org.buckthornwheel.api.estate.ServiceItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.api.estate.ZoneItem
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Compares the JSON of release notes and of the estate's items with the forms recorded in `encoded-forms.txt`.
 *
 * Names of properties are part of these forms. A rename without `@SerialName` would make a host misread stored notes
 * and refuse the notes of operators.
 */
class EncodedFormsTest {
    private val region = RegionName("region-1")
    private val account = AccountName("account-1")
    private val operations = listOf(Operation(OperationName("operation-1"), idempotent = true))
    private val target = TargetItem(
        TargetName("target-1"),
        ZoneName("zone-1"),
        NetworkAddress("192.0.2.1", 8090),
        models = listOf(ModelName("model-1")),
        services = listOf(ServiceName("service-1")),
        capacity = 9,
        checksFencing = true,
    )
    private val items: List<EstateItem> = listOf(
        RegionItem(region),
        ZoneItem(ZoneName("zone-1"), region),
        ModelItem(ModelName("model-1"), "v1"),
        ServiceItem(ServiceName("service-1"), operations),
        target,
        ResidencyRuleItem(account, listOf(region)),
        AccountItem(account, region, requestsPerSecond = 1.5, requestsInFlight = 2, weight = 2.5),
        PolicyItem(homeBiasMilliseconds = 3, linkBytesPerSecond = 4),
    )
    private val smallItems: List<EstateItem> = listOf(
        ServiceItem(ServiceName("service-1"), listOf(Operation(OperationName("operation-1")))),
        TargetItem(target.name, target.zone, target.address),
        AccountItem(account, region),
        PolicyItem(),
    )
    private val note =
        ReleaseNote(
            NoteId("note-1"),
            "author-1",
            Revision(4),
            items,
            smallItems,
            ItemKind.entries.map {
                ItemKey(it, "n")
            },
        )

    private val specimens: List<Specimen<*>> =
        items.map { specimen<EstateItem>("${it.key.kind.ordinal}", it) } +
            smallItems.map { specimen<EstateItem>("${it.key.kind.ordinal}-small", it) } +
            listOf(
                specimen("note", note),
                specimen("note-small", ReleaseNote(NoteId("note-2"), "author-2", Revision(0))),
                specimen("accepted-note", AcceptedNote(Revision(5), note, HostName("host-1"), 1_700_000_000_001)),
                specimen("request-and-incarnation", RequestId("request-1") to Incarnation(1001)),
            )

    private val recorded: Map<String, String> = checkNotNull(javaClass.getResource("/encoded-forms.txt")).readText()
        .lines().filter { it.isNotEmpty() }.associate { it.substringBefore(' ') to it.substringAfter(' ') }

    @TestFactory
    fun `a value is written in its recorded form and read back as an equal value`(): List<DynamicTest> =
        specimens.map { dynamicTest(it.name) { it.check(recorded[it.name]) } }

    @Test
    fun `each recorded form belongs to a value`() {
        expectThat(recorded.keys.toList()).isEqualTo(specimens.map { it.name })
    }

    private class Specimen<Value>(val name: String, val value: Value, val serializer: KSerializer<Value>) {
        fun check(form: String?) {
            expectThat(Json.encodeToString(serializer, value)).isEqualTo(form)
            expectThat(Json.decodeFromString(serializer, form.orEmpty())).isEqualTo(value)
        }
    }

    private companion object {
        inline fun <reified Value> specimen(name: String, value: Value): Specimen<Value> =
            Specimen(name, value, serializer<Value>())
    }
}
