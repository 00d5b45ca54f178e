package org.hollypick.records;

/** The final states of a job. Each has one name, in stored records and in responses to users. */
public enum TerminalStatus {
    /** All tasks completed. */
    COMPLETED("done"),
    /**
     * Cancelled by its user or with a dependency; or a graph that wasn't sealed in time, or some of whose nodes failed
     * or were cancelled.
     */
    CANCELLED("aborted");

    private final String wireName;

    TerminalStatus(String wireName) {
        this.wireName = wireName;
    }

    /** The name in stored records and in responses. */
    public String wireName() {
        return wireName;
    }

    /** The status of that name in a terminal record: any name other than that of {@link #COMPLETED} means cancelled. */
    static TerminalStatus ofStored(String status) {
        return status.equals(COMPLETED.wireName) ? COMPLETED : CANCELLED;
    }
}
