/*
 * Exit codes of the command-line tool.
 */
package org.toucanspur.cli

/** What the exit code of a command means. */
enum class ExitCode(val code: Int) {
    /** The command did what it says. */
    OK(0),

    /** A document has errors, or two documents differ. */
    FINDINGS(1),

    /** Arguments are wrong or a file is not readable. */
    USAGE(2),

    /** Another operator's change came first. */
    CONFLICT(3),

    /** The object API or the VM list does not answer; nothing was changed. */
    UNAVAILABLE(4),

    /** Whether the change was accepted is not known. */
    OUTCOME_UNKNOWN(5),

    /** The change is accepted but not in force everywhere in time. */
    NOT_IN_FORCE(6),

    /** What was asked for does not exist. */
    NOT_FOUND(7)
}
