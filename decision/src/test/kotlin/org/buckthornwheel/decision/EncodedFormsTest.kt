package org.buckthornwheel.decision

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.serializer
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.decision.estate.EstateSnapshot
import org.buckthornwheel.decision.estate.ItemChange
import org.buckthornwheel.decision.ledger.ActionClaim
import org.buckthornwheel.decision.ledger.ActionEntry
import org.buckthornwheel.decision.ledger.ActionKey
import org.buckthornwheel.decision.ledger.ActionResult
import org.buckthornwheel.decision.ledger.HelloAnswer
import org.buckthornwheel.decision.ledger.Hold
import org.buckthornwheel.decision.ledger.HoldNumber
import org.buckthornwheel.decision.ledger.HolderAnswer
import org.buckthornwheel.decision.ledger.KnownState
import org.buckthornwheel.decision.ledger.PromiseAnswer
import org.buckthornwheel.decision.ledger.RegisteredHost
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/**
 * Compares the JSON of serializable types with the forms recorded in `encoded-forms.txt`.
 *
 * The names of most classes, properties and enum values are part of the encoded form. A rename without `@SerialName`
 * would make hosts of two versions, or a host and its stored data, misread each other.
 */
class EncodedFormsTest {
    private val host = RegisteredHost(HostName("host-1"), Incarnation(1001), "192.0.2.1:8082")
    private val other = RegisteredHost(HostName("host-2"), Incarnation(1002), "192.0.2.2:8082")
    private val key = ActionKey(AccountName("account-1"), "key-1")
    private val hold = Hold(host, HoldNumber(7))
    private val answered = ActionResult.Answered(201, "text/plain", "Ym9keQ==", "target-1")
    private val region = RegionItem(RegionName("region-1"))

    private val specimens: List<Specimen<*>> = listOf(
        specimen("registered-host", host),
        specimen("claim-open", ActionClaim(key, "0a", hold)),
        specimen("claim-answered", ActionClaim(key, "0a", hold, answered)),
        specimen("claim-answered-null", ActionClaim(key, "0a", hold, ActionResult.Answered(204, null, null, "t"))),
        specimen("claim-not-run", ActionClaim(key, "0a", hold, ActionResult.NotRun("detail-1"))),
        specimen("claim-lost", ActionClaim(key, "0a", hold, ActionResult.Lost("detail-2"))),
        specimen("entry-held", ActionEntry(key, "0a", KnownState.HeldElsewhere(hold))),
        specimen("entry-ended", ActionEntry(key, "0a", KnownState.Ended(answered))),
        specimen<HolderAnswer>("holder-ended", HolderAnswer.Ended(answered)),
        specimen<HolderAnswer>("holder-busy", HolderAnswer.Busy),
        specimen<HolderAnswer>("holder-not-held", HolderAnswer.NotHeld),
        specimen<HolderAnswer>("holder-elsewhere", HolderAnswer.Elsewhere(other)),
        specimen<HolderAnswer>("holder-conflict", HolderAnswer.Conflict),
        specimen<PromiseAnswer>("promise-granted", PromiseAnswer.Granted(setOf(host, other))),
        specimen<PromiseAnswer>("promise-seen", PromiseAnswer.Seen(hold)),
        specimen<PromiseAnswer>("promise-not-given", PromiseAnswer.NotGiven),
        specimen<PromiseAnswer>("promise-silent", PromiseAnswer.Silent),
        specimen("hello", HelloAnswer(hasCompleteHistory = true, registered = setOf(host))),
        specimen(
            "snapshot",
            EstateSnapshot(Revision(9), listOf(region), listOf(ItemChange(ItemKey(ItemKind.REGION, "r"), Revision(8)))),
        ),
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
