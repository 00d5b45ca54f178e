package org.hollypick.core.assignment;

/** Whether the commands of a direct call were executed, as far as its sender knows. */
public enum CallOutcome {
    /** The agent executed the commands. */
    EXECUTED,
    /** The agent refused the call, or the call was never sent. No copy of it will be executed either. */
    NOT_EXECUTED,
    /** The commands may have been executed, or may be executed later. */
    UNKNOWN
}
