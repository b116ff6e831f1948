package org.buckthornwheel.daemon.request

import arrow.core.Either
import arrow.core.left
import kotlinx.collections.immutable.ImmutableMap
import org.buckthornwheel.api.AccountName
import org.buckthornwheel.api.FailureCause
import org.buckthornwheel.api.GatewayFailure
import org.buckthornwheel.api.MonotonicClock
import org.buckthornwheel.api.Outcome
import org.buckthornwheel.api.Step
import org.buckthornwheel.api.estate.AccountItem
import org.buckthornwheel.daemon.configuration.EstateHolder
import org.buckthornwheel.decision.admission.AccountLimits
import org.buckthornwheel.decision.admission.AccountUsage
import org.buckthornwheel.decision.admission.Admission
import org.buckthornwheel.decision.admission.AdmissionRequest
import org.buckthornwheel.decision.admission.AdmissionVerdict
import org.buckthornwheel.decision.admission.LoadShedding
import org.buckthornwheel.decision.admission.LocalUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Admission control for requests of callers; a forwarded request was admitted by the host that forwarded it. */
internal class AdmissionGate(
    private val admission: Admission,
    private val shedding: LoadShedding,
    private val estate: EstateHolder,
    private val clock: MonotonicClock,
) : LocalUsage {
    override fun current(): ImmutableMap<AccountName, AccountUsage> = admission.usage(clock.now())

    /** Runs [block] if [request] is admitted; returns a failure with outcome `not-run` otherwise. */
    suspend fun <Result> runIfAdmitted(
        request: GatewayRequest,
        block: suspend () -> Either<GatewayFailure, Result>,
    ): Either<GatewayFailure, Result> {
        if (request.scope.hops > 0) return block()
        if (shedding.refuses(request.id.hashCode().toLong())) {
            return refusal(FailureCause.OVERLOADED, "the host is overloaded", OVERLOAD_RETRY_AFTER).left()
        }
        val admissionRequest = AdmissionRequest(request.account, limitsOf(request.account), isLong(request))
        return when (val verdict = admission.admit(admissionRequest, clock.now())) {
            is AdmissionVerdict.Admitted -> runAdmitted(admissionRequest, block)

            is AdmissionVerdict.RateLimited ->
                refusal(FailureCause.RATE_LIMITED, "the account has reached its limit", verdict.retryAfter).left()

            is AdmissionVerdict.Overloaded ->
                refusal(
                    FailureCause.OVERLOADED,
                    "the host, or the account's share of it, is fully used",
                    verdict.retryAfter,
                ).left()
        }
    }

    private suspend fun <Result> runAdmitted(admissionRequest: AdmissionRequest, block: suspend () -> Result): Result =
        try {
            block()
        } finally {
            admission.finished(admissionRequest)
        }

    private fun limitsOf(account: AccountName): AccountLimits {
        val declared = estate.current().account(account) ?: return DEFAULT_LIMITS
        return AccountLimits(declared.requestsPerSecond, declared.requestsInFlight, declared.weight)
    }

    private fun isLong(request: GatewayRequest): Boolean {
        val completion = request.work as? RequestedWork.Completion ?: return false
        return (completion.maximumTokens ?: Int.MAX_VALUE) > SHORT_RESPONSE_MAXIMUM_TOKENS
    }

    private fun refusal(cause: FailureCause, detail: String, retryAfter: Duration): GatewayFailure =
        GatewayFailure(Step.ADMIT, null, cause, detail, Outcome.NOT_RUN, retryAfter)

    private companion object {
        const val SHORT_RESPONSE_MAXIMUM_TOKENS = 256
        val OVERLOAD_RETRY_AFTER: Duration = 1.seconds
        val DEFAULT_LIMITS = AccountLimits(
            AccountItem.DEFAULT_REQUESTS_PER_SECOND,
            AccountItem.DEFAULT_REQUESTS_IN_FLIGHT,
            weight = 1.0,
        )
    }
}
