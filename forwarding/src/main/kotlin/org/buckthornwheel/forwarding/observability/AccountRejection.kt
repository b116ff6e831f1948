package org.buckthornwheel.forwarding.observability

/** Why a request was rejected because of its client account; [text] stands in logs, [label] in metrics. */
internal enum class AccountRejection(val text: String, val label: String) {
    /** No account has the key, or the request does not have exactly one key. */
    UNKNOWN_KEY("no account has the key", "unknown-key"),

    /** This host cannot show that its keys are current. */
    KEYS_NOT_CURRENT("keys not shown to be current", "not-current"),

    /** No region may serve both the account and the route. */
    NO_COMMON_HOME("no common home region of account and route", "no-home"),

    /** The account uses more than its limit. */
    OVER_LIMIT("over the limit of the account", "over-limit"),
}
