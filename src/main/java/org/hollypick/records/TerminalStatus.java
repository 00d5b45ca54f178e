package org.hollypick.records;

/** The states in which a job ends. Each has one spelling, in stored records and in responses to users. */
public enum TerminalStatus {
    /** All tasks completed. */
    COMPLETED("done"),
    /** Cancelled by its user, by a dependency that was cancelled, or since tasks of its graph failed. */
    CANCELLED("aborted");

    private final String wireName;

    TerminalStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The spelling in stored records and in responses. */
    public String wireName() {
        return wireName;
    }

    /** The status that a terminal record spells: any spelling but that of {@link #COMPLETED} means cancelled. */
    static TerminalStatus ofStored(String status) {
        return status.equals(COMPLETED.wireName) ? COMPLETED : CANCELLED;
    }
}
