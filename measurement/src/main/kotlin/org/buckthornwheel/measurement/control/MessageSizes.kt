package org.buckthornwheel.measurement.control

import kotlinx.serialization.json.Json
import org.buckthornwheel.api.Revision
import org.buckthornwheel.measurement.report.MarkdownTable
import org.buckthornwheel.measurement.report.TableRow
import org.buckthornwheel.measurement.report.rowOf
import org.buckthornwheel.measurement.sample.EstateSize
import org.buckthornwheel.measurement.sample.SampleEstate
import org.buckthornwheel.measurement.sample.SamplePeers
import org.buckthornwheel.protocol.peer.FetchedNotes
import org.buckthornwheel.protocol.peer.PeerResponse

/** Sizes of single messages as the real codecs encode them. */
internal object MessageSizes {
    fun table(): MarkdownTable {
        val note = SampleEstate(EstateSize.DESIGN).singleChangeNote(Revision(1))
        val fetched: PeerResponse = FetchedNotes(listOf(note))
        return MarkdownTable(
            title = "Single messages",
            columns = listOf("message", "bytes"),
            rows = listOf(
                row("everyday note in the log, JSON", Json.encodeToString(note).length),
                row("everyday note between hosts, signed", SamplePeers.codec.encode(fetched).size),
                row("envelope of a forwarded request, signed", SamplePeers.codec.encode(SamplePeers.envelope()).size),
            ),
        )
    }

    private fun row(message: String, bytes: Int): TableRow = rowOf(message, bytes.toString())
}
