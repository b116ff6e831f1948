/*
 * Finds out for which client account a caller sends a request, and whether the account may.
 */

package org.buckthornwheel.forwarding.front

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import org.buckthornwheel.api.MonotonicInstant
import org.buckthornwheel.api.RegionName
import org.buckthornwheel.decision.account.ClientAccount
import org.buckthornwheel.decision.account.QuotaVerdict
import org.buckthornwheel.decision.manifest.AccountDeclarations
import org.buckthornwheel.decision.manifest.Route
import org.buckthornwheel.forwarding.dialect.RequestMetadata
import org.buckthornwheel.forwarding.exchange.ForwardingContext
import org.buckthornwheel.forwarding.exchange.QuotaCharge
import org.buckthornwheel.forwarding.host.CurrentManifest
import org.buckthornwheel.forwarding.observability.AccountRejection
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The result of an authentication. */
internal sealed interface Authentication {
    /**
     * The request may be served.
     *
     * @property account the account; null if the route needs none.
     * @property homeRegions the regions that may serve the request; empty if all may.
     * @property charge what was taken of the account's limit; null if it has none.
     */
    data class Accepted(val account: ClientAccount?, val homeRegions: Set<RegionName>, val charge: QuotaCharge?) :
        Authentication

    /** The request is rejected because of its [account], which is null if it is not known. */
    data class Rejected(
        val status: HttpResponseStatus,
        val reason: AccountRejection,
        val retryAfter: Duration?,
        val account: ClientAccount? = null,
    ) : Authentication
}

/** Authenticates the requests of callers. */
internal class CallerAuthentication(private val context: ForwardingContext) {
    /**
     * Authenticates a request with [headers] on [route].
     *
     * Whether the keys are current is decided first: a key that is not known here may have been added meanwhile, and
     * callers do not return after a 401.
     */
    fun authenticate(
        current: CurrentManifest,
        route: Route,
        headers: HttpHeaders,
        metadata: RequestMetadata,
        now: MonotonicInstant,
    ): Authentication {
        if (!current.manifest.requiresAccounts || route.isPublic) {
            return Authentication.Accepted(account = null, route.homeRegions, charge = null)
        }
        if (context.currency.refusesAccounts) return notCurrent(now)
        val account = context.dialect.readAccountKey(headers)?.let(current.accounts::find)
            ?: return Authentication.Rejected(HttpResponseStatus.UNAUTHORIZED, AccountRejection.UNKNOWN_KEY, null)
        val homes = AccountDeclarations.commonHomes(account.homeRegions, route.homeRegions)
            ?: return unavailable(AccountRejection.NO_COMMON_HOME, FAULT_RETRY_AFTER, account)
        return charge(account, homes, metadata, now)
    }

    private fun charge(
        account: ClientAccount,
        homes: Set<RegionName>,
        metadata: RequestMetadata,
        now: MonotonicInstant,
    ): Authentication {
        val limit = account.limit ?: return Authentication.Accepted(account, homes, charge = null)
        val cost = limit.cost(metadata.usedTokens)
        return when (val verdict = context.quotas.admit(account.name, limit, cost, now)) {
            QuotaVerdict.Admitted ->
                Authentication.Accepted(account, homes, QuotaCharge(context.quotas, account.name, cost))
            is QuotaVerdict.Exceeded -> Authentication.Rejected(
                HttpResponseStatus.TOO_MANY_REQUESTS,
                AccountRejection.OVER_LIMIT,
                verdict.retryAfter,
                account,
            )
        }
    }

    /** Sends callers to another host at once if one accepts their keys. */
    private fun notCurrent(now: MonotonicInstant): Authentication {
        val retryAfter = if (context.hosts.hasAcceptingHost(now)) OTHER_HOST_RETRY_AFTER else STORE_RETRY_AFTER
        return unavailable(AccountRejection.KEYS_NOT_CURRENT, retryAfter, account = null)
    }

    private fun unavailable(reason: AccountRejection, retryAfter: Duration, account: ClientAccount?): Authentication =
        Authentication.Rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, retryAfter, account)

    private companion object {
        /** Retry-After for callers that have to reconnect to another host. */
        val OTHER_HOST_RETRY_AFTER = 20.milliseconds

        /** Retry-After while no host is known to accept keys: about the time between two reads of the store. */
        val STORE_RETRY_AFTER = 500.milliseconds

        /** Retry-After for a fault of the manifest, which lasts until an operator mends it. */
        val FAULT_RETRY_AFTER = 5.seconds
    }
}
