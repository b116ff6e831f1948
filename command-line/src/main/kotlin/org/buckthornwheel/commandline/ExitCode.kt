package org.buckthornwheel.commandline

/** Exit codes of the command line; 0 means success and 1 wrong usage. */
internal object ExitCode {
    /** The note or the request was rejected because of its content. */
    const val REFUSED = 2

    /** There was no response, or the response says that the outcome is unknown. */
    const val UNAVAILABLE = 3

    /** The token is missing, unknown, or has a role that does not permit the command. */
    const val NOT_PERMITTED = 4

    /** The response cannot be decoded. */
    const val MALFORMED_RESPONSE = 5

    /** The settings are invalid (`EX_CONFIG` of sysexits.h). */
    const val INVALID_SETTINGS = 78

    /** The description of the exit codes in the output of `--help`. */
    const val HELP = "Exit codes: 0 success; 1 wrong usage; 2 rejected; 3 no response, or the outcome is unknown; " +
        "4 not permitted; 5 malformed response; 78 settings are invalid."
}
