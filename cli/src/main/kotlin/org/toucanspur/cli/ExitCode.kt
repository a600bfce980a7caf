/*
 * Exit codes of the command-line tool.
 */
package org.toucanspur.cli

/** Result of a command as seen by the shell. */
enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    OK(0),

    /** A document has errors, or two documents differ. */
    FINDINGS(1),

    /** An argument is not valid or a file is not readable. */
    USAGE(2),

    /** Another change was published first. */
    CONFLICT(3),

    /**
     * The object API, the VM list or a process does not respond, or a stored document is malformed;
     * nothing was changed.
     */
    UNAVAILABLE(4),

    /** It is unknown whether the change was accepted. */
    OUTCOME_UNKNOWN(5),

    /** The change was accepted but not active on all processes before the timeout. */
    NOT_IN_FORCE(6),

    /** The requested object does not exist. */
    NOT_FOUND(7),

    /** The configuration of the entry has no route for the request. */
    ROUTE_UNKNOWN(8),

    /** No organisation has the key of the request. */
    KEY_UNKNOWN(9),

    /** The entry has no complete configuration, cannot check keys, or is stopping. */
    ENTRY_NOT_READY(10),

    /** The port of the entry does not respond, or is not one that explains requests. */
    ENTRY_UNREACHABLE(11)
}
