package org.buckthornwheel.settings

import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.single
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.random.Random

class SettingsReaderTest {
    private val example = Path("../docs/settings.example.json").readText()

    private fun findings(text: String): List<SettingsFinding> = SettingsReader.parse(text).leftOrNull().orEmpty()

    @Nested
    inner class `given the annotated example` {
        @Test
        fun `it is valid`() {
            expectThat(findings(example)).isEmpty()
        }

        @Test
        fun `it contains every field`() {
            val unnamed = fieldNames(HostSettings.serializer().descriptor).filterNot { "\"$it\":" in example }
            expectThat(unnamed).isEmpty()
        }

        @Test
        fun `its optional sections contain the default values`() {
            val settings = SettingsReader.parse(example).getOrNull()
            expectThat(settings).isNotNull().and {
                get { limits }.isEqualTo(LimitSettings())
                get { timeouts }.isEqualTo(TimeoutSettings())
                get { logging }.isEqualTo(LoggingSettings())
                get { tls }.isEqualTo(TlsSettings())
            }
        }

        private fun fieldNames(descriptor: SerialDescriptor): Set<String> {
            if (descriptor.isInline) return emptySet()
            val nested = descriptor.elementDescriptors.flatMap(::fieldNames)
            return if (descriptor.kind ==
                StructureKind.CLASS
            ) {
                nested.toSet() + descriptor.elementNames
            } else {
                nested.toSet()
            }
        }
    }

    @Nested
    inner class `given a file with several errors` {
        private val text = example
            .replace("\"region\": \"salish-south\"", "\"regoin\": \"salish-south\"")
            .replace("\"requestsInFlight\": 2000", "\"requestsInFlight\": \"many\"")
            .replace("\"role\": \"operator\"", "\"role\": \"king\"")
            .replace("\"connectMilliseconds\": 1000", "\"connectMilliseconds\": 0")
            .replace("\"192.0.2.12:8082\"", "17")
            .replace("0.0.0.0:8080", "0.0.0.0:eighty")

        @Test
        fun `each error is reported with its path`() {
            expectThat(findings(text).map { it.path }).containsExactlyInAnyOrder(
                "$.host.regoin",
                "$.host.region",
                "$.limits.requestsInFlight",
                "$.administration.tokens[0].role",
                "$.bootstrapHosts[0]",
                "$.listen.callers",
                "$.timeouts.connectMilliseconds",
            )
        }

        @Test
        fun `the message contains the value found and the allowed values`() {
            expectThat(findings(text)).any {
                get { toString() }
                    .isEqualTo("$.administration.tokens[0].role: found \"king\"; allowed: one of reader, operator")
            }
        }
    }

    @Nested
    inner class `given a file that is not a settings file` {
        @Test
        fun `malformed JSON is reported as a single finding`() {
            expectThat(findings("{\"host\": ")).single().get { path }.isEqualTo("$")
        }

        @Test
        fun `each missing required section of an empty object is reported`() {
            expectThat(findings("{}").map { it.path })
                .containsExactlyInAnyOrder("$.host", "$.listen", "$.platform", "$.sharedKeys")
        }
    }

    @Nested
    inner class `given well-formed settings with invalid values` {
        @Test
        fun `an administration listener on a non-loopback address requires a token`() {
            val open = example.replace("127.0.0.1:8081", "0.0.0.0:8081").replace(TOKENS, "\"tokens\": []")
            expectThat(findings(open)).single().get { path }.isEqualTo("$.administration.tokens")
        }

        @Test
        fun `unreadable key store files are reported`() {
            val tls = """{ "tls": { "callers": { "file": "/nowhere.p12", "passwordFile": "/nowhere" } }, """
            val text = example.replaceFirst(Regex("(?m)^\\{"), Regex.escapeReplacement(tls))
            expectThat(findings(text).map { it.path }).contains("$.tls.callers.file", "$.tls.callers.passwordFile")
        }
    }

    @Nested
    inner class `given randomly corrupted files` {
        @Test
        fun `parsing throws no exception`() {
            val random = Random(SEED)
            val thrown = (1..ROUNDS).firstNotNullOfOrNull {
                runCatching { SettingsReader.parse(corrupted(random)) }.exceptionOrNull()
            }
            expectThat(thrown).isNull()
        }

        private fun corrupted(random: Random): String {
            val text = StringBuilder(example)
            repeat(random.nextInt(1, 6)) {
                val at = random.nextInt(text.length)
                when (random.nextInt(3)) {
                    0 -> text.setCharAt(at, ALPHABET.random(random))
                    1 -> text.deleteCharAt(at)
                    else -> text.insert(at, ALPHABET.random(random))
                }
            }
            return if (random.nextInt(10) == 0) text.substring(0, random.nextInt(text.length)) else text.toString()
        }
    }

    private companion object {
        const val SEED = 20_261_204
        const val ROUNDS = 3_000
        const val ALPHABET = "{}[]\",:0-9eE.\\/\u0000\u00e9nulltrue "
        val TOKENS = Regex("\"tokens\": \\[.*?],", RegexOption.DOT_MATCHES_ALL)
    }
}
