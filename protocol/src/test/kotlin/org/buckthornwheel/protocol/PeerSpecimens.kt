package org.buckthornwheel.protocol

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.api.RequestId
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ItemKey
import org.buckthornwheel.api.estate.ItemKind
import org.buckthornwheel.api.estate.RegionItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ZoneItem
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
import org.buckthornwheel.protocol.peer.ActionAcknowledged
import org.buckthornwheel.protocol.peer.AskPromise
import org.buckthornwheel.protocol.peer.AskResult
import org.buckthornwheel.protocol.peer.FetchNotes
import org.buckthornwheel.protocol.peer.FetchedNotes
import org.buckthornwheel.protocol.peer.ForwardEnvelope
import org.buckthornwheel.protocol.peer.Gossip
import org.buckthornwheel.protocol.peer.HandOverKeys
import org.buckthornwheel.protocol.peer.HandOverResponse
import org.buckthornwheel.protocol.peer.HeartbeatMessage
import org.buckthornwheel.protocol.peer.HelloResponse
import org.buckthornwheel.protocol.peer.KeysResponse
import org.buckthornwheel.protocol.peer.LinkMessage
import org.buckthornwheel.protocol.peer.LoadMessage
import org.buckthornwheel.protocol.peer.OtherIncarnation
import org.buckthornwheel.protocol.peer.PeerMessage
import org.buckthornwheel.protocol.peer.PeerRequest
import org.buckthornwheel.protocol.peer.PeerResponse
import org.buckthornwheel.protocol.peer.ProfileMessage
import org.buckthornwheel.protocol.peer.PromiseResponse
import org.buckthornwheel.protocol.peer.ReleasePromise
import org.buckthornwheel.protocol.peer.ResultResponse
import org.buckthornwheel.protocol.peer.SayFarewell
import org.buckthornwheel.protocol.peer.SayHello
import org.buckthornwheel.protocol.peer.SummaryMessage
import org.buckthornwheel.protocol.peer.TakeOverKeys
import org.buckthornwheel.protocol.peer.UnsupportedRequest
import org.buckthornwheel.protocol.peer.UsageMessage

/** One specimen of each message between hosts, by the name under which its encoded form is recorded. */
internal object PeerSpecimens {
    private val host = RegisteredHost(HostName("host-1"), Incarnation(1001), "192.0.2.1:8082")
    private val other = RegisteredHost(HostName("host-2"), Incarnation(1002), "192.0.2.2:8082")
    private val key = ActionKey(AccountName("account-1"), "key-1")
    private val hold = Hold(other, HoldNumber(7))
    private val answered = ActionResult.Answered(201, "text/plain", "Ym9keQ==", "target-1")
    private val entries = listOf(
        ActionEntry(key, "0a", KnownState.HeldElsewhere(hold)),
        ActionEntry(key, "0b", KnownState.Ended(answered)),
        ActionEntry(key, "0c", KnownState.Ended(ActionResult.NotRun("detail-1"))),
        ActionEntry(key, "0d", KnownState.Ended(ActionResult.Lost("detail-2"))),
    )
    private val note = ReleaseNote(
        id = NoteId("note-1"),
        author = "author-1",
        base = Revision(4),
        added = listOf(RegionItem(RegionName("region-1"))),
        changed = listOf(ZoneItem(ZoneName("zone-1"), RegionName("region-1"))),
        withdrawn = listOf(ItemKey(ItemKind.MODEL, "model-1")),
    )
    private val smallNote = ReleaseNote(NoteId("note-2"), "author-2", Revision(0))
    private val heartbeat = HeartbeatMessage(key = -11, sequence = 12, revision = 13, leaving = true)
    private val usage = listOf(UsageMessage("account-1", 21, 22))
    private val summary = SummaryMessage(
        zone = "zone-1",
        region = "region-1",
        representative = 31,
        sequence = 32,
        ageMilliseconds = 33,
        contacts = listOf(heartbeat),
        loads = listOf(LoadMessage("model-1", 41, 42, 43, 44)),
        usage = usage,
    )

    val requests: Map<String, PeerRequest> = mapOf(
        "fetch-notes" to FetchNotes(Revision(3)),
        "ask-promise" to AskPromise(host, key, "0a", hold),
        "release-promise" to ReleasePromise(host, key, hold),
        "ask-result" to AskResult(host, key, "0a"),
        "say-hello" to SayHello(host, other),
        "take-over-keys" to TakeOverKeys(host, 5),
        "hand-over-keys" to HandOverKeys(host, entries),
        "say-farewell" to SayFarewell(host, other, setOf(host, other)),
    )

    val responses: Map<String, PeerResponse> = mapOf(
        "fetched-notes" to FetchedNotes(
            listOf(
                AcceptedNote(Revision(5), note, HostName("host-1"), 1_700_000_000_001),
                AcceptedNote(Revision(6), smallNote, HostName("host-2"), 1_700_000_000_002),
            ),
        ),
        "not-understood" to UnsupportedRequest("detail-3"),
        "promise-granted" to PromiseResponse(PromiseAnswer.Granted(setOf(host, other))),
        "promise-seen" to PromiseResponse(PromiseAnswer.Seen(hold)),
        "promise-seen-null" to PromiseResponse(PromiseAnswer.Seen(null)),
        "promise-not-given" to PromiseResponse(PromiseAnswer.NotGiven),
        "promise-silent" to PromiseResponse(PromiseAnswer.Silent),
        "result-ended" to ResultResponse(HolderAnswer.Ended(answered)),
        "result-busy" to ResultResponse(HolderAnswer.Busy),
        "result-not-held" to ResultResponse(HolderAnswer.NotHeld),
        "result-elsewhere" to ResultResponse(HolderAnswer.Elsewhere(other)),
        "result-conflict" to ResultResponse(HolderAnswer.Conflict),
        "hello" to HelloResponse(HelloAnswer(hasCompleteHistory = true, registered = setOf(host, other))),
        "keys" to KeysResponse(entries),
        "hand-over" to HandOverResponse(kept = true),
        "acknowledged" to ActionAcknowledged,
        "other-incarnation" to OtherIncarnation,
    )

    val datagrams: Map<String, PeerMessage> = mapOf(
        "gossip-small" to Gossip(heartbeat),
        "gossip" to Gossip(
            sender = heartbeat,
            heartbeats = listOf(heartbeat.copy(key = 14)),
            profiles = listOf(
                ProfileMessage("host-1", 1001, "region-1", "zone-1", "192.0.2.1:8080", "192.0.2.1:8082"),
            ),
            requestedProfiles = listOf(51, 52),
            zones = listOf(summary, SummaryMessage("zone-2", "region-2", 61, 62, 63)),
            usage = usage,
            links = listOf(LinkMessage("zone-2", 71)),
            isJoinRequest = true,
            probe = 81,
            echo = 82,
        ),
    )

    private val envelope = ForwardEnvelope(
        requestId = RequestId("request-1"),
        sender = HostName("host-1"),
        account = AccountName("account-1"),
        path = "/v1/completions",
        reads = true,
        hops = 2,
        visitedZones = listOf(ZoneName("zone-1")),
        remainingMilliseconds = 1_234,
        permittedRegions = listOf(RegionName("region-1")),
        idempotencyKey = "key-1",
        bodySha256 = "0a",
        firstAttempt = true,
    )

    val envelopes: Map<String, ForwardEnvelope> = mapOf(
        "envelope" to envelope,
        "envelope-small" to
            envelope.copy(permittedRegions = null, idempotencyKey = null, firstAttempt = false),
    )
}
