package org.buckthornwheel.api

/**
 * Whether a request was executed, as reported to the caller.
 *
 * @property headerValue the value of the `Outcome` header.
 */
public enum class Outcome(public val headerValue: String) {
    /** The complete response was delivered. */
    COMPLETED("completed"),

    /** The request was not executed and no host will execute it; the caller may safely retry it. */
    NOT_RUN("not-run"),

    /** The request may or may not have been executed. */
    UNKNOWN("unknown"),
    ;

    /** Conversion from header values. */
    public companion object {
        /** The outcome with the header value [text], or [UNKNOWN] if the text is missing or matches none. */
        public fun of(text: String?): Outcome = entries.firstOrNull { it.headerValue == text } ?: UNKNOWN
    }
}
