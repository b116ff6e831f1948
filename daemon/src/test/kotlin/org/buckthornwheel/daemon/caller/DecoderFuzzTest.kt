package org.buckthornwheel.daemon.caller

import kotlinx.serialization.json.Json
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.ModelName
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.NetworkAddress
import org.buckthornwheel.api.NoteId
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Revision
import org.buckthornwheel.api.ServiceName
import org.buckthornwheel.api.TargetName
import org.buckthornwheel.api.ZoneName
import org.buckthornwheel.api.estate.AcceptedNote
import org.buckthornwheel.api.estate.ModelItem
import org.buckthornwheel.api.estate.ReleaseNote
import org.buckthornwheel.api.estate.ServiceItem
import org.buckthornwheel.api.estate.TargetItem
import org.buckthornwheel.daemon.administration.readNote
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.daemon.identity.AccountDirectory
import org.buckthornwheel.daemon.identity.FakeDirectory
import org.buckthornwheel.decision.estate.Estate
import org.buckthornwheel.settings.LimitSettings
import org.buckthornwheel.settings.TimeoutSettings
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import java.time.Instant
import kotlin.random.Random

class DecoderFuzzTest {
    private val note = ReleaseNote(
        id = NoteId("first"),
        author = "operator",
        base = Revision.NONE,
        added = listOf(
            ModelItem(ModelName("drafting"), "1"),
            ServiceItem(ServiceName("findings"), emptyList()),
            TargetItem(TargetName("engine"), ZoneName("zone"), NetworkAddress("127.0.0.1", 80)),
        ),
    )
    private val accepted = AcceptedNote(Revision(1), note, HostName("a"), 0)
    private val estate = requireNotNull(Estate.EMPTY.apply(accepted).getOrNull())
    private val reader = RequestReader(
        accounts = AccountDirectory(FakeDirectory(emptyList())) { Instant.EPOCH },
        estate = EstateHolder(),
        limits = LimitSettings(),
        timeouts = TimeoutSettings(),
        clock = MonotonicClock.SYSTEM,
    )

    private fun damaged(random: Random, valid: String): String {
        val text = StringBuilder(valid)
        repeat(random.nextInt(0, 5)) {
            val index = random.nextInt(text.length)
            when (random.nextInt(3)) {
                0 -> text.setCharAt(index, ALPHABET.random(random))
                1 -> text.insert(index, ALPHABET.random(random))
                else -> if (text.length > 1) text.deleteCharAt(index)
            }
        }
        return text.toString()
    }

    @Nested
    inner class `given randomly damaged bodies and paths of callers` {
        @Test
        fun `each one is read as a request or rejected with outcome not-run`() {
            val random = Random(SEED)
            val violation = (1..ROUNDS).firstNotNullOfOrNull {
                val path = damaged(random, PATHS.random(random))
                val body = if (it % 10 == 0) random.nextBytes(50) else damaged(random, BODY).encodeToByteArray()
                runCatching { reader.workOf(estate, path, random.nextBoolean(), body) }.fold(
                    onSuccess = { work -> work.leftOrNull()?.takeIf { failure -> failure.outcome != Outcome.NOT_RUN } },
                    onFailure = { escaped -> escaped },
                )
            }
            expectThat(violation).isNull()
        }

        @Test
        fun `deep nesting does not exhaust the stack`() {
            val body = """{"messages":${"[".repeat(500_000)}"""
            expectThat(reader.workOf(estate, PATHS.first(), false, body.encodeToByteArray()).leftOrNull()).isNotNull()
                .get { outcome }.isEqualTo(Outcome.NOT_RUN)
        }
    }

    @Nested
    inner class `given randomly damaged release notes` {
        @Test
        fun `each one is read as a note or reported as a finding`() {
            val random = Random(SEED)
            val valid = Json.encodeToString(note)
            val escaped = (1..ROUNDS).firstNotNullOfOrNull {
                runCatching { readNote(damaged(random, valid)) }.exceptionOrNull()
            }
            expectThat(escaped).isNull()
        }

        @Test
        fun `deep nesting does not exhaust the stack`() {
            val escaped = runCatching { readNote("""{"added":${"[".repeat(500_000)}""") }.exceptionOrNull()
            expectThat(escaped).isNull()
        }

        @Test
        fun `deep nesting inside an item does not exhaust the stack`() {
            val text = """{"id":"a","author":"b","base":0,"added":[{"x":${"[".repeat(500_000)}"""
            expectThat(runCatching { readNote(text) }.exceptionOrNull()).isNull()
        }
    }

    private companion object {
        const val SEED = 20_261_204
        const val ROUNDS = 20_000
        const val ALPHABET = "{}[]\",:0-9eE.\\/?%\u0000\u00e9\ud800nulltrue "
        const val BODY = """{"model":"drafting","stream":true,"max_tokens":5,"messages":[{"content":"a"}]}"""
        val PATHS = listOf("/v1/completions", "/v1/services/findings/read", "/v1/services/findings/read?a=b")
    }
}
