package org.buckthornwheel.decision.admission

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.MonotonicInstant
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionTest {
    private val start = MonotonicInstant(0)
    private val ample = AccountLimits(requestsPerSecond = 10_000.0, requestsInFlight = 10_000, weight = 1.0)

    private fun admission(remote: AccountUsage = AccountUsage(0.0, 0), inFlight: Int = 1_000) =
        Admission(AdmissionLimits(inFlight), { remote })

    private fun requestOf(account: String, limits: AccountLimits, isLong: Boolean = false) =
        AdmissionRequest(AccountName(account), limits, isLong)

    private fun Admission.admits(request: AdmissionRequest, now: MonotonicInstant = start): Boolean =
        admit(request, now) is AdmissionVerdict.Admitted

    /** Number of requests admitted if one arrives each millisecond for [seconds] and ends at once. */
    private fun Admission.admittedIn(seconds: Int, request: AdmissionRequest, from: MonotonicInstant = start): Int =
        (0 until seconds * 1_000).count { millisecond ->
            admits(request, from + millisecond.milliseconds).also { if (it) finished(request) }
        }

    @Nested
    inner class `given an account with a limit of 50 requests per second` {
        private val request = requestOf("halvorsen", AccountLimits(50.0, 64, 1.0))

        @Test
        fun `it gets this rate and a burst of one second`() {
            expectThat(admission().admittedIn(10, request)).isGreaterThanOrEqualTo(500).isLessThanOrEqualTo(551)
        }

        @Test
        fun `a refusal states when the next request is permitted`() {
            val admission = admission()
            repeat(50) { admission.admits(request).also { admission.finished(request) } }
            expectThat(admission.admit(request, start)).isEqualTo(AdmissionVerdict.RateLimited(20.milliseconds))
        }

        @Test
        fun `two hosts that know the usage of each other stay near the limit together`() {
            lateinit var one: Admission
            lateinit var other: Admission
            var now = start
            fun Admission.use() = usage(now)[request.account] ?: AccountUsage(0.0, 0)
            one = Admission(AdmissionLimits(1_000), { other.use() })
            other = Admission(AdmissionLimits(1_000), { one.use() })
            var admitted = 0
            repeat(20) { second ->
                now = start + second.seconds
                admitted += one.admittedIn(1, request, now) + other.admittedIn(1, request, now)
            }
            expectThat(admitted).isGreaterThan(800).isLessThanOrEqualTo(1_350)
        }
    }

    @Nested
    inner class `given an account with requests in flight at other hosts` {
        @Test
        fun `these requests count towards its limit`() {
            val admission = admission(AccountUsage(0.0, requestsInFlight = 60))
            val request = requestOf("halvorsen", AccountLimits(1_000.0, requestsInFlight = 64, weight = 1.0))
            expectThat((1..64).count { admission.admits(request) }).isEqualTo(4)
        }
    }

    @Nested
    inner class `given a host that is nearly full` {
        @Test
        fun `an account beyond its weighted share is refused while another one still gets its share`() {
            val admission = admission(inFlight = 100)
            val greedy = requestOf("greedy", ample)
            val modest = requestOf("modest", ample.copy(weight = 3.0))
            expectThat(admission.admits(modest)).isEqualTo(true)
            val admitted = (1..200).count { admission.admits(greedy) }
            expectThat(admitted).isLessThanOrEqualTo(75)
            expectThat((1..200).count { admission.admits(modest) }).isGreaterThanOrEqualTo(24)
            expectThat(admission.admit(greedy, start)).isA<AdmissionVerdict.Overloaded>()
        }

        @Test
        fun `long requests leave slots for short ones`() {
            val admission = admission(inFlight = 100)
            expectThat((1..200).count { admission.admits(requestOf("bennani", ample, isLong = true)) }).isEqualTo(80)
            expectThat(admission.admits(requestOf("bennani", ample))).isEqualTo(true)
        }
    }

    @Nested
    inner class `given an account that is idle` {
        @Test
        fun `it is removed`() {
            val admission = admission()
            val request = requestOf("halvorsen", ample)
            admission.admits(request).also { admission.finished(request) }
            expectThat(admission.usage(start + 61.seconds)[request.account]).isNull()
        }
    }
}
