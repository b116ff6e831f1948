package org.buckthornwheel.decision.account.share

import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.HostName
import org.buckthornwheel.api.Incarnation
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.decision.account.AccountLimit
import org.buckthornwheel.decision.account.LimitUnit
import org.buckthornwheel.decision.account.QuotaVerdict
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class AccountQuotaChangesTest {
    private val start = MonotonicInstant(0) + 100.seconds
    private val one = AccountName("account-1")
    private val other = AccountName("account-2")
    private val peer = HostName("host-2")

    private fun limit(rate: Double) = AccountLimit(LimitUnit.REQUESTS, rate, rate, plainTokens = 0)

    private fun quotas(mostShare: Double = 1.0) = SharedAccountQuotas(
        { SharersView(mostShare, mostShare, emptySet(), emptySet()) },
        start,
    ) { 0.5 }

    /** The requests of [account] that are admitted at once [after] the start. */
    private fun SharedAccountQuotas.admitted(account: AccountName, rate: Double, after: Duration): Int =
        generateSequence { admit(account, limit(rate), 1.0, start + after) }
            .takeWhile { it is QuotaVerdict.Admitted }.count()

    @Test
    fun `a host starts with an empty bucket`() {
        expectThat(quotas().admitted(one, rate = 100.0, Duration.ZERO)).isEqualTo(0)
        expectThat(quotas().admitted(one, rate = 100.0, 2.seconds)).isEqualTo(100)
    }

    @Test
    fun `a lower limit binds at once and leaves other accounts alone`() {
        val quotas = quotas()
        quotas.admit(one, limit(100.0), 1.0, start + 2.seconds)
        expectThat(quotas.admitted(one, rate = 10.0, 2.seconds)).isEqualTo(10)
        expectThat(quotas.admitted(other, rate = 100.0, 2.seconds)).isEqualTo(100)
    }

    @Test
    fun `units that are returned may be used again`() {
        val quotas = quotas()
        quotas.admitted(one, rate = 100.0, 2.seconds)
        repeat(5) { quotas.giveBack(one, 1.0, start + 2.seconds) }
        expectThat(quotas.admitted(one, rate = 100.0, 2.seconds)).isEqualTo(5)
    }

    @Test
    fun `a refused request learns when to return`() {
        val quotas = quotas()
        quotas.admitted(one, rate = 100.0, 2.seconds)
        expectThat(quotas.admit(one, limit(100.0), 1.0, start + 2.seconds)).isA<QuotaVerdict.Exceeded>()
            .get { retryAfter }.isGreaterThan(Duration.ZERO)
    }

    @Test
    fun `a host of which others do not hear uses its part only`() {
        expectThat(quotas(mostShare = 0.05).admitted(one, rate = 100.0, 2.seconds)).isEqualTo(5)
    }

    @Test
    fun `a report that arrives twice or late is counted once`() {
        val quotas = quotas()
        quotas.admit(one, limit(100.0), 1.0, start + 2.seconds)
        val first = QuotaReport(1, listOf(ReportedUse(AccountHash.of(one), used = 10, demand = 50)))
        val second = QuotaReport(2, listOf(ReportedUse(AccountHash.of(one), used = 30, demand = 50)))
        for (report in listOf(first, second, second, first)) {
            quotas.receive(peer, Incarnation(1), report, start + 2.seconds + 1.milliseconds)
        }
        val level = quotas.state(one, start + 2.seconds)?.level ?: 0.0
        expectThat(Math.round(level)).isEqualTo(69L)
    }
}
